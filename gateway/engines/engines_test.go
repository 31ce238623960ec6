package engines_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

var start = time.Unix(1_000_000, 0)

// fleet returns a ledger of one reader and two producers of a service, and its
// clock.
func fleet() (*engines.Ledger, *time.Time) {
	now := start
	l := engines.New("dc-1", func() time.Time { return now })
	for id, stage := range map[string]site.Stage{"r": site.Prefill, "p1": site.Decode, "p2": site.Decode} {
		l.EndpointChanged(site.Endpoint{ID: id, Service: "model", DataCentre: "dc-1", Slots: 10, Stage: stage, Started: 1})
	}
	return l, &now
}

// Pattern: a fleet in which a process hears of some others only. What the heard
// ones run stands for the others too.
func TestLoadsOfUnheardProcessesAreEstimated(t *testing.T) {
	l, now := fleet()
	l.SetProcesses(4)
	l.SetRemote("vm-2", []engines.Load{{Endpoint: "p1", Streams: placement.Streams{Running: 6}}, {Endpoint: "r", Unread: []placement.PendingPrompt{{Level: 2, Work: 6000, Remaining: 6000}}}})
	view, list := l.Stages("model")
	require.Len(t, list, 3)
	require.Equal(t, 1, view.PrefillEngines)
	require.Equal(t, 2, view.DecodeEngines)
	require.Equal(t, 20, view.DecodeSlots)
	require.InDelta(t, 12, view.Streams, 0.01, "6 of two processes, and two more that are not heard")
	require.Greater(t, view.PrefillWait, 100*time.Millisecond)

	*now = now.Add(10 * time.Second)
	require.Zero(t, l.Heard())
	l.DropPeer("vm-2")
	view, _ = l.Stages("model")
	require.Zero(t, view.Streams)
	require.Zero(t, view.PrefillWait)
}

// Pattern: engines leave or fail. They count neither as readers nor as
// producers, so that others take their place.
func TestLeavingEnginesHaveNoStage(t *testing.T) {
	l, _ := fleet()
	l.EndpointChanged(site.Endpoint{ID: "p1", Service: "model", DataCentre: "dc-1", Slots: 10, Stage: site.Decode, Started: 1, Draining: true})
	for range 5 {
		l.Note("p2", engines.Unreachable)
	}
	view, list := l.Stages("model")
	require.Zero(t, view.DecodeEngines)
	require.Len(t, list, 1)
	require.Equal(t, []string{"model"}, l.ModelServices())
}

// Pattern: plain endpoints under load, one of them failing. The least loaded
// sound one of the own data centre is taken.
func TestPlainRequestsGoToTheLeastLoadedSoundEndpoint(t *testing.T) {
	l, _ := fleet()
	for id, dc := range map[string]string{"near-1": "dc-1", "near-2": "dc-1", "far": "dc-2"} {
		l.EndpointChanged(site.Endpoint{ID: id, Service: "plain", DataCentre: dc, Slots: 6, Started: 1})
	}
	for range 5 {
		l.Note("near-2", engines.Faulty)
	}
	first, done, ok := l.Plain("plain", nil)
	require.True(t, ok)
	require.Equal(t, "near-1", first.ID)
	for range 2 {
		_, _, ok = l.Plain("plain", nil)
		require.True(t, ok)
	}
	require.EqualValues(t, 2, l.Gauges()["near-1"]["running"])
	require.EqualValues(t, 1, l.Gauges()["far"]["running"], "home is busier than the way is long")
	done()
	require.EqualValues(t, 1, l.Gauges()["near-1"]["running"])
	_, _, ok = l.Plain("plain", map[string]bool{"near-1": true, "near-2": true, "far": true})
	require.False(t, ok)
}
