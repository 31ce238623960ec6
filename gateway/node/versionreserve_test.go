package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// stagedFleet is a fleet of entry processes before engines of several versions and both stages.
type stagedFleet struct {
	*versionedFleet
}

// addStaged starts and lists engines of a version in a stage.
func (f *stagedFleet) addStaged(version, stage string, n int) []*sitetest.StagedEngine {
	list := func(e *sitetest.StagedEngine) {
		f.store.Put(site.TableEndpoints, e.ID, e.Row("model", "dc", "ready", e.Stage()))
	}
	var added []*sitetest.StagedEngine
	for i := range n {
		e := sitetest.NewStagedEngine(f.t, fmt.Sprintf("%s-%s-%d", version, stage, i), version, stage, list)
		list(e)
		added = append(added, e)
	}
	return added
}

// beginAt begins streams at a process until n of a version were broken off.
func (f *stagedFleet) beginAt(p *entryProcess, version string, n int) []beginning {
	f.t.Helper()
	var begun []beginning
	for deadline := time.Now().Add(20 * time.Second); len(begun) < n; {
		require.True(f.t, time.Now().Before(deadline), "%d of %d streams", len(begun), n)
		for _, b := range f.begin(p, 1) {
			if b.version == version {
				begun = append(begun, b)
			}
		}
	}
	return begun
}

// Two of nine engines crashed: the two at one software version that generate tokens. None of its
// streams went on where callers took them up, though two prefill engines of the version served.
func TestStreamsGoOnWhenTwoDecodeEnginesOfAVersionCrash(t *testing.T) {
	f := &stagedFleet{newVersionedFleet(t, 2)}
	decode, prefill := f.addStaged("v1", "decode", 2), f.addStaged("v1", "prefill", 2)
	others := append(f.addStaged("v2", "decode", 3), f.addStaged("v2", "prefill", 2)...)
	all := append(append(others, decode...), prefill...)
	f.awaitVersion(f.processes[0], "v1")
	f.awaitVersion(f.processes[1], "v1")
	f.eventually(func() bool { return prefill[0].Stage() == "decode" || prefill[1].Stage() == "decode" })
	time.Sleep(settleTime)
	for _, e := range all {
		e.Breaks.Store(true)
	}
	begun := f.beginAt(f.processes[0], "v1", 12)
	for _, e := range all {
		e.Breaks.Store(false)
	}
	for _, e := range decode {
		e.Down.Store(true)
	}
	wentOn := f.takeUpAll(f.processes[1], begun)
	require.GreaterOrEqual(t, float64(wentOn), minTakeUpShare*float64(len(begun)), "an engine of their version generates tokens")
}
