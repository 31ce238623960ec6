package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: a process that did not see the engines of a version for a
// moment wrote the version's end, and was killed before it saw them again. The others, which
// see one version, did not read the register again, and began streams at a version that had
// ended there.
func TestEndWrittenByAProcessThatWasKilledIsTakenBackByTheOthers(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "p", true)
	p.list("v1")
	p.awaitConfirmed()
	killed := startProcess(t, store, "killed", true)
	killed.list("v1")
	killed.awaitConfirmed()
	killed.EndpointGone("1-0") // It sees no engine for a moment: an odd entry, or heartbeats that were late.
	time.Sleep(1500 * time.Millisecond)
	require.Contains(t, string(store.Value(streamversions.Table, "in-use/s")), `"ended_ms"`)
	killed.stop()
	time.Sleep(12 * time.Second) // Of the 60 s for which streams of an ended version are known.
	store.AdvanceClock(streamversion.Retention)
	p.RecordStream("s", "of v1", "v1") // Streams go on beginning at v1.
	p.stop()                           // All processes are killed, and all engines are replaced.
	c := startProcess(t, store, "c", true)
	c.list("v2")
	c.awaitConfirmed()
	require.NotEqual(t, "v2", c.find("of v1"), "the stream of v1 goes on at v2")
}
