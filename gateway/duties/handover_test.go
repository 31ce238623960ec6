package duties

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minInterval is the minimum time between actions of one VM if another VM may have
// acted in between.
const minInterval = 3 * time.Second

// startReporter returns the reporter of a process that has just started on a VM.
func (f *fixture) startReporter(name string) *Reporter {
	r := f.reporter(name)
	r.Handover = NewHandoverGuard(minInterval, func() time.Time { return f.now })
	return r
}

// reportHolders returns the holders of all reports in order, with consecutive reports
// of the same holder listed once.
func (f *fixture) reportHolders() []string {
	var holders []string
	for _, report := range f.dutyServer.Reports() {
		if len(holders) == 0 || holders[len(holders)-1] != report.Holder {
			holders = append(holders, report.Holder)
		}
	}
	return holders
}

// All VMs are restarted one after another, and no receiver checks fencing tokens. The
// VM that acted first acquires the lease again within a second. It must not act until
// minInterval has passed since the last action of its previous process.
func TestRestartedVMWaitsBeforeActingAgain(t *testing.T) {
	f := newFixture(t)
	a := f.startReporter("a")
	for window := range Window(20) {
		f.writeCounts(t, "a", windowAt(f.now, windowLength)+window, 1)
	}
	f.advance(a, minInterval+2*windowLength+sealDelay)
	require.Equal(t, []string{"a"}, f.reportHolders())
	lastReportOfA := f.now

	a.Lease.Release(context.Background())
	b := f.startReporter("b")
	b.Handover.lastAction = f.now.Add(-time.Hour) // The process of b started long ago.
	f.advance(b, 300*time.Millisecond)
	require.Equal(t, []string{"a", "b"}, f.reportHolders(), "another VM continues immediately")

	b.Lease.Release(context.Background())
	restarted := f.startReporter("a")
	for range 40 {
		f.advance(restarted, 100*time.Millisecond)
		if len(f.reportHolders()) > 2 {
			break
		}
	}
	require.Equal(t, []string{"a", "b", "a"}, f.reportHolders())
	require.GreaterOrEqual(t, f.now.Sub(lastReportOfA), minInterval)
}

// A process that loses the lease briefly and acquires it again waits as well.
func TestReturningHolderWaits(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	guard := NewHandoverGuard(minInterval, func() time.Time { return now })
	require.False(t, guard.MayAct(1), "the VM's previous process may have acted")
	now = now.Add(minInterval)
	require.True(t, guard.MayAct(1))
	guard.RecordAction(1)
	now = now.Add(time.Second)
	require.True(t, guard.MayAct(1))
	require.False(t, guard.MayAct(3))
	now = now.Add(minInterval - time.Second)
	require.True(t, guard.MayAct(3))
}
