package node_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against refused take-ups: an engine started again under its ID with other software,
// which broke off its streams. That they had begun before, at the version that it had, was
// known, and engines of that version served.
func TestStreamsThatAnEngineBeganBeforeItStartedAgainWithOtherSoftwareGoOn(t *testing.T) {
	f := newVersionedFleet(t, 2)
	p := f.processes[0]
	old := f.addEngines("v1", 1)[0]
	row := old.Row("model", "dc", "ready", "decode")
	former := time.Now().Add(-time.Minute).UnixMilli()
	row["born"], row["seq"] = former, 50
	old.StartedMS.Store(former)
	f.store.Put(site.TableEndpoints, old.ID, row)
	f.awaitVersion(p, "v1")
	old.Breaks.Store(true)
	begun := f.begin(p, 16)
	old.Breaks.Store(false)
	time.Sleep(5 * time.Second) // More than clocks may differ.
	for _, id := range []string{"stays-1", "stays-2"} {
		f.list(sitetest.NewVersionedEngine(t, id, "v1"))
	}
	f.awaitVersion(f.processes[1], "v1")
	again := time.Now().UnixMilli()
	old.StartAgain(again)
	row["version"], row["born"], row["seq"] = "v2", again, 1
	f.store.Put(site.TableEndpoints, old.ID, row)
	time.Sleep(settleTime)
	wentOn := f.takeUpAll(f.processes[1], begun) + f.takeUpAll(p, begun)
	require.GreaterOrEqual(t, float64(wentOn), minTakeUpShare*float64(2*len(begun)), "two engines of their version serve")
}
