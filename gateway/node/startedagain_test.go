package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: streams that an engine began after it had started again
// under its ID with other software, and before its row was read, went on at the version that
// it had had.
func TestStreamsOfAnEngineThatStartedAgainWithOtherSoftwareAreNotJoined(t *testing.T) {
	f := newVersionedFleet(t, 1)
	p := f.processes[0]
	e := sitetest.NewVersionedEngine(t, "x", "v2") // Has started again; its row still is that of v1.
	e.StartedMS.Store(0)                           // Its reports don't say so.
	row := e.Row("model", "dc", "ready", "decode")
	row["version"] = "v1"
	f.store.Put(site.TableEndpoints, e.ID, row)
	f.awaitVersion(p, "v2")
	breakAll([]*sitetest.VersionedEngine{e}, true)
	begun := f.begin(p, 4)
	sitetest.StartedAgain(row, "v2")
	f.store.Put(site.TableEndpoints, e.ID, row)
	f.addEngines("v1", 2)
	f.awaitVersion(p, "v1")
	breakAll([]*sitetest.VersionedEngine{e}, false)
	time.Sleep(settleTime)
	joined := 0
	for _, b := range begun {
		if got := f.takeUp(p, b); got.status == http.StatusOK && versionOf(got.body) != b.version {
			joined++
		}
	}
	require.Zero(t, joined, "of %d streams taken up", len(begun))
}
