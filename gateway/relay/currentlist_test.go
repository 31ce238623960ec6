package relay_test

import (
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: a process that had been frozen sent streams which had begun to
// an engine that had started again under its ID with other software, as its list of endpoints
// was that of before.
func TestStreamGoesOnWithACurrentListOfEndpointsOnly(t *testing.T) {
	const never = 1 << 30
	for name, c := range map[string]struct {
		takesUp bool
		oldFor  int // How often the list is found to be out of date.
		want    relay.Reason
	}{
		"taken up":                         {takesUp: true, oldFor: never, want: relay.ReasonVersionUnknown},
		"taken up, a newer list arrives":   {takesUp: true, oldFor: 5, want: relay.ReasonNone},
		"in one response":                  {oldFor: never, want: relay.ReasonBroken},
		"in one response, a list arrives":  {oldFor: 5, want: relay.ReasonNone},
		"in one response, current at once": {want: relay.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			r, first := newVersionedRelay(t, &fakeVersions{known: map[string]string{"of-v1": "v1"}, recorded: make(map[string]string)})
			first.Breaks.Store(!c.takesUp)
			var asked atomic.Int64
			r.ListIsCurrent = func() bool { return asked.Add(1) > int64(c.oldFor) }
			job := newModelJob()
			other := sitetest.NewVersionedEngine(t, "e-2", "v1")
			if c.takesUp {
				job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", "of-v1"
				job.Header.Set(sitetest.HeaderLastEventID, "3")
			}
			// It has one slot, so that the first one is tried first.
			r.Selector.EndpointChanged(site.Endpoint{ID: other.ID, Service: "model", Address: other.Address, DataCentre: "dc-2", Slots: 1, StartedMS: 1, Stage: site.Decode, SoftwareVersion: "v1"})
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Equal(t, c.want, outcome.Reason)
			if c.want != relay.ReasonNone {
				require.Empty(t, other.Requests())
			}
			if c.want == relay.ReasonVersionUnknown {
				require.Empty(t, first.Requests())
				require.NotEmpty(t, recorder.Header().Get("Retry-After"))
			}
		})
	}
}

// Guards against a stream that is refused although its only decode engine was never asked: the
// list of endpoints was out of date for a moment after the prefill elsewhere.
func TestDecodeEngineStaysEligibleIfTheListIsOldAfterThePrefill(t *testing.T) {
	r, decode := newVersionedRelay(t, &fakeVersions{known: map[string]string{"of-v1": "v1"}, recorded: make(map[string]string)})
	prefill := sitetest.NewEndpoint(t, "prefill", sitetest.WithPrefill("h", nil))
	r.Selector.EndpointChanged(site.Endpoint{ID: "prefill", Service: "model", Address: prefill.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1, SoftwareVersion: "v1"})
	var oldSince atomic.Pointer[time.Time]
	r.ListIsCurrent = func() bool {
		if len(prefill.Requests()) == 0 {
			return true
		}
		now := time.Now()
		oldSince.CompareAndSwap(nil, &now)
		return time.Since(*oldSince.Load()) > 400*time.Millisecond
	}
	job := newModelJob()
	job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", "of-v1"
	job.Header.Set(sitetest.HeaderLastEventID, "3")
	job.Route.MaxAttempts = 3
	job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, job)
	require.NotEmpty(t, prefill.Requests())
	require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
	require.NotEmpty(t, decode.Requests())
}
