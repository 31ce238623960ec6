package engines_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/balance"
	"flamingospar.org/core/placement"
	"flamingospar.org/core/stages"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

var start = time.Unix(1_000_000, 0)

// newSelector returns a selector with one prefill and two decode engines of a service,
// and its clock.
func newSelector() (*engines.Selector, *time.Time) {
	now := start
	s := engines.New("dc-1", func() time.Time { return now })
	for id, stage := range map[string]site.Stage{"prefill-1": site.Prefill, "decode-1": site.Decode, "decode-2": site.Decode} {
		s.EndpointChanged(site.Endpoint{ID: id, Service: "model", DataCentre: "dc-1", Slots: 10, Stage: stage, StartedMS: 1})
	}
	return s, &now
}

// In a large fleet a process receives reports from some peers only. The loads of the
// others are extrapolated from the reported ones.
func TestLoadsOfSilentProcessesAreEstimated(t *testing.T) {
	s, now := newSelector()
	s.SetProcesses(4)
	s.SetPeerLoads("vm-2", []engines.Load{{Endpoint: "decode-1", Streams: placement.Streams{Running: 6}}, {Endpoint: "prefill-1", Pending: []placement.PendingPrompt{{Level: 2, Work: 6000, Remaining: 6000}}}})
	view, list := s.StageView("model"), stages.Orderable(s.StageEngines("model"))
	require.Len(t, list, 3)
	require.Equal(t, 1, view.PrefillEngines)
	require.Equal(t, 2, view.DecodeEngines)
	require.Equal(t, 20, view.DecodeSlots)
	require.InDelta(t, 12, view.Streams, 0.01, "6 from two processes, doubled for the two that did not report")
	require.Greater(t, view.PrefillWait, 100*time.Millisecond)

	*now = now.Add(10 * time.Second)
	require.Zero(t, s.ActivePeers())
	s.DropPeer("vm-2")
	view = s.StageView("model")
	require.Zero(t, view.Streams)
	require.Zero(t, view.PrefillWait)
}

// Draining and failing engines count neither as prefill nor as decode engines, so
// that others take their place.
func TestDrainingAndFailingEnginesHaveNoStage(t *testing.T) {
	s, _ := newSelector()
	s.EndpointChanged(site.Endpoint{ID: "decode-1", Service: "model", DataCentre: "dc-1", Slots: 10, Stage: site.Decode, StartedMS: 1, Draining: true})
	for range 5 {
		s.RecordResult("decode-2", engines.Unreachable)
	}
	view, list := s.StageView("model"), stages.Orderable(s.StageEngines("model"))
	require.Zero(t, view.DecodeEngines)
	require.Len(t, list, 1)
	require.Equal(t, []string{"model"}, s.ModelServices())
}

// With one endpoint failing, requests go to the least loaded healthy endpoint of the
// local data centre, and to another data centre once the local one is busier by
// remoteCost.
func TestPlainRequestsGoToTheLeastLoadedHealthyEndpoint(t *testing.T) {
	s, _ := newSelector()
	for id, dc := range map[string]string{"local-1": "dc-1", "local-2": "dc-1", "remote": "dc-2"} {
		s.EndpointChanged(site.Endpoint{ID: id, Service: "plain", DataCentre: dc, Slots: 6, StartedMS: 1})
	}
	for range 5 {
		s.RecordResult("local-2", engines.RequestFailed)
	}
	first, done, ok := s.ChoosePlain("r", "plain", nil)
	require.True(t, ok)
	require.Equal(t, "local-1", first.ID)
	for range 2 {
		_, _, ok = s.ChoosePlain("r", "plain", nil)
		require.True(t, ok)
	}
	require.EqualValues(t, 2, s.Gauges()["local-1"]["running"])
	require.EqualValues(t, 1, s.Gauges()["remote"]["running"], "the load of the local endpoint exceeds remoteCost")
	done(balance.Answered)
	require.EqualValues(t, 1, s.Gauges()["local-1"]["running"])
	_, _, ok = s.ChoosePlain("r", "plain", map[string]bool{"local-1": true, "local-2": true, "remote": true})
	require.False(t, ok)
}
