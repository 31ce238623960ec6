package engines

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/availability"
	"flamingospar.org/core/placement"
	"flamingospar.org/core/stages"
	"flamingospar.org/platform/site"
)

// fakeLimits blocks endpoints; a permit may be had for those with the value true.
type fakeLimits map[string]bool

func (f fakeLimits) Blocked() map[string]bool {
	blocked := make(map[string]bool, len(f))
	for id := range f {
		blocked[id] = true
	}
	return blocked
}
func (f fakeLimits) MayAsk(id string) bool { return f[id] }

func (f fakeLimits) Limited(id string) bool {
	_, ok := f[id]
	return ok
}

func newLimitedSelector(limits fakeLimits, stage site.Stage, ids ...string) *Selector {
	s := New("dc-1", time.Now)
	s.Limits = limits
	for _, id := range ids {
		s.EndpointChanged(site.Endpoint{ID: id, Service: "s", DataCentre: "dc-1", Slots: 8, Stage: stage, StartedMS: 1})
	}
	return s
}

func smallRequest() placement.Request {
	return placement.Request{Prompt: placement.Prompt{Tokens: 20}, Budget: time.Second, MaxWait: 2 * time.Second, Deadline: 5 * time.Second}
}

// A permit is asked for only if a request would be served worse without it.
func TestPermitIsAskedForOnlyWithoutRoomElsewhere(t *testing.T) {
	for name, c := range map[string]struct {
		limits   fakeLimits
		verdict  placement.Verdict
		passed   int
		wantAsk  bool
		exclude  map[string]bool
		overload bool // Of e-2.
	}{
		"no limits":                    {limits: fakeLimits{}, verdict: placement.InTime},
		"room elsewhere":               {limits: fakeLimits{"e-1": true}, verdict: placement.InTime, passed: 1},
		"the other one is overloaded":  {limits: fakeLimits{"e-1": true}, verdict: placement.Late, passed: 1, wantAsk: true, overload: true},
		"all are blocked":              {limits: fakeLimits{"e-1": true, "e-2": true}, verdict: placement.NoEngine, passed: 2, wantAsk: true},
		"all are blocked, none to ask": {limits: fakeLimits{"e-1": false, "e-2": false}, verdict: placement.NoEngine, passed: 2},
		"the only one to ask failed":   {limits: fakeLimits{"e-1": true, "e-2": false}, verdict: placement.NoEngine, passed: 1, exclude: map[string]bool{"e-1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newLimitedSelector(c.limits, site.Decode, "e-1", "e-2")
			if c.overload {
				s.Send("e-2", placement.Prompt{Tokens: 22_000}, 0, 0)
			}
			request := smallRequest()
			request.Exclude = c.exclude
			placed := s.Place("s", request)
			require.Equal(t, c.verdict, placed.Verdict)
			require.Equal(t, c.passed, placed.PassedOver.Count)
			require.Equal(t, c.wantAsk, placed.PassedOver.Ask != "")
			if placed.Decode != nil {
				require.NotContains(t, c.limits, placed.Decode.ID)
			}
			decode, ok := s.ChooseDecode("s", request)
			require.Equal(t, placed.Decode != nil, ok)
			require.NotContains(t, c.limits, decode.ID)
		})
	}
}

func TestPlainEndpointsWhoseLimitIsUsedUpArePassedOver(t *testing.T) {
	s := newLimitedSelector(fakeLimits{"e-1": true}, "", "e-1", "e-2")
	for range 5 { // Even when the other one is much busier.
		endpoint, _, ok := s.ChoosePlain("r", "s", nil)
		require.True(t, ok)
		require.Equal(t, "e-2", endpoint.ID)
	}
	_, _, ok := s.ChoosePlain("r", "s", map[string]bool{"e-2": true})
	require.False(t, ok)
	require.Equal(t, PassedOver{Count: 1, Ask: "e-1", Any: "e-1", Reason: availability.RateLimited}, s.PassedOverPlain("s", map[string]bool{"e-2": true}))
	require.Equal(t, PassedOver{}, s.PassedOverPlain("s", map[string]bool{"e-1": true}))
}

// A change of stage costs an engine in need two requests and its time. A limit must not
// make other engines change their stage either: while all decode engines had one, the
// planner saw none and ordered the prefill engine to take their place.
func TestLimitedEnginesKeepTheirStageAndCountInIt(t *testing.T) {
	s := newLimitedSelector(fakeLimits{"e-1": true}, site.Decode, "e-1")
	s.EndpointChanged(site.Endpoint{ID: "e-2", Service: "s", DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
	view, list := s.StageView("s"), stages.Orderable(s.StageEngines("s"))
	require.Equal(t, 1, view.PrefillEngines)
	require.Equal(t, 1, view.DecodeEngines)
	require.Len(t, list, 1)
	require.Equal(t, "e-2", list[0].ID)
}
