package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site/sitetest"
)

// listOf lists an engine whose ID is made of its service and version.
func (p *process) listOf(service, version string) {
	listAt(p, service+version, service, version)
}

// findOf takes up a stream of a route that may send it to two services.
func (p *process) findOf(id string) string {
	begun, ok := p.Find(p.t.Context(), streamversions.TakeUp{Service: "a", Services: []string{"a", "b"}, RequestID: "again", ResumedRequestID: id})
	if !ok {
		return ""
	}
	return begun.Version
}

// Guards against take-ups that are refused for ever once the store has come back from an
// older copy: one service of the route has no engines, and so no register.
func TestServiceWithoutEnginesKeepsNothingFromBeingInferredAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.listOf("a", "v1")
	require.Equal(t, "v1", p.findOf("before"))
	store.Restore(store.Copy())
	q := startProcess(t, store, "b", true)
	q.listOf("a", "v1")
	require.Empty(t, p.findOf("of the era before")) // Tells p that the store went back.
	time.Sleep(time.Second)                         // The register is written.
	store.AdvanceClock(streamversion.Retention)
	require.Equal(t, "v1", p.findOf("x"))
	require.Equal(t, "v1", q.findOf("y"))
}

// Guards against joined streams: the copy lacks the register of a service that had begun
// streams, and the processes that knew of it have ended.
func TestServiceWhoseRegisterIsMissingInAnOlderCopyIsReckonedWith(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.listOf("a", "v1")
	older := store.Copy()
	p.listOf("b", "v2")
	p.RecordStream("b", "of v2", "v2")
	p.stop() // Killed, as the engines of b are.
	store.Restore(older)
	q := startProcess(t, store, "b", true)
	q.listOf("a", "v1")
	require.Empty(t, q.findOf("of v2"))
	store.AdvanceClock(streamversion.Retention - 5*time.Second)
	require.Empty(t, q.findOf("of v2"))
	store.AdvanceClock(10 * time.Second)
	require.Equal(t, "v1", q.findOf("new"), "nobody takes up a stream of the era before any more")
}

// A process that lives writes the register that the copy lacks.
func TestServiceWithoutEnginesIsRegisteredAgainAfterTheStoreWentBack(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	p.listOf("a", "v1")
	older := store.Copy()
	p.listOf("b", "v2")
	p.EndpointGone("bv2")
	store.Restore(older)
	require.Empty(t, p.findOf("of v2")) // Tells p that the store went back.
	require.Eventually(t, func() bool { return len(store.Value(streamversions.Table, "in-use/b")) > 0 }, 5*time.Second, 10*time.Millisecond)
	require.Empty(t, startProcess(t, store, "b", true).findOf("of v2"))
}
