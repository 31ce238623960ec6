package duties

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// alternation is the span of the settings within which one VM must not act,
// another, and the first again.
const alternation = 3 * time.Second

// startsAnew returns the process of a VM that has just started.
func (f *fixture) startsAnew(name string) *Reporter {
	r := f.reporter(name)
	r.Handover = NewHandover(alternation, func() time.Time { return f.now })
	return r
}

// holders returns the holders of all reports in their order, each once a turn.
func (f *fixture) holders() []string {
	var holders []string
	for _, report := range f.duties.Reports() {
		if len(holders) == 0 || holders[len(holders)-1] != report.Holder {
			holders = append(holders, report.Holder)
		}
	}
	return holders
}

// Pattern: all VMs are stopped and started in turn, and nobody checks fencing
// tokens. The VM that acted first has the duties back within a second; it acts
// only when its former process's act is long ago (bluemahoe-rota, trouble-2).
func TestRestartedVMDoesNotActByTurns(t *testing.T) {
	f := newFixture(t)
	a := f.startsAnew("a")
	for window := range Window(20) {
		f.counted(t, "a", windowAt(f.now, windowLength)+window, 1)
	}
	f.pass(a, alternation+2*windowLength+sealDelay)
	require.Equal(t, []string{"a"}, f.holders())
	lastOfA := f.now

	a.Lease.Release(context.Background())
	b := f.startsAnew("b")
	b.Handover.last = f.now.Add(-time.Hour) // It started long ago.
	f.pass(b, 300*time.Millisecond)
	require.Equal(t, []string{"a", "b"}, f.holders(), "another VM goes on at once")

	b.Lease.Release(context.Background())
	again := f.startsAnew("a")
	for range 40 {
		f.pass(again, 100*time.Millisecond)
		if len(f.holders()) > 2 {
			break
		}
	}
	require.Equal(t, []string{"a", "b", "a"}, f.holders())
	require.GreaterOrEqual(t, f.now.Sub(lastOfA), alternation)
}

// A process that lost the lease for a moment and has it again waits as well.
func TestHolderThatIsBackWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	h := NewHandover(alternation, func() time.Time { return now })
	require.False(t, h.May(1), "the VM's former process may have acted")
	now = now.Add(alternation)
	require.True(t, h.May(1))
	h.Acts(1)
	now = now.Add(time.Second)
	require.True(t, h.May(1))
	require.False(t, h.May(3))
	now = now.Add(alternation - time.Second)
	require.True(t, h.May(3))
}
