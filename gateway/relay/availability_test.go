package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/availability"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// An answer that says that the endpoint leaves arrived between the choice of the endpoint
// for another request and the call: that request was sent to it.
func TestRequestIsNotSentToAnEndpointThatHasJustSaidThatItLeaves(t *testing.T) {
	for _, kind := range []site.RouteKind{site.Idempotent, site.NonIdempotent} {
		first, second := sitetest.NewEndpoint(t, "e-1", nil), sitetest.NewEndpoint(t, "e-2", nil)
		r := newRelay(first, second)
		r.MaxIdleConns = func(string) int { // Asked for when the request is made.
			r.Selector.Observe(site.Endpoint{ID: "e-1", StartedMS: 1}, site.EndpointResponse{Leaving: true})
			return 0
		}
		recorder := httptest.NewRecorder()
		outcome := r.Serve(t.Context(), recorder, newJob(kind))
		require.Equal(t, http.StatusOK, recorder.Code)
		require.Empty(t, first.Requests())
		require.Len(t, second.Requests(), 1)
		require.Equal(t, relay.ResultPassedOver, outcome.Calls[0].Result)
		require.Equal(t, 1, outcome.Attempts)
	}
}

// A decode engine for which a permit was taken before the prefill said during the prefill
// that it leaves: the prefill was lost with the refused call.
func TestStreamGoesToAnotherDecodeEngineIfItsOwnLeavesDuringThePrefill(t *testing.T) {
	leaving := sitetest.NewEndpoint(t, "d-1", sitetest.Events(3, 0))
	other := sitetest.NewEndpoint(t, "d-2", sitetest.Events(3, 0))
	r := newRelay()
	listed := site.Endpoint{ID: "d-1", Service: "model", Address: leaving.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Decode, StartedMS: 1}
	prefill := sitetest.NewEndpoint(t, "p", func(w http.ResponseWriter, request *http.Request) {
		r.Selector.Observe(listed, site.EndpointResponse{Leaving: true})
		sitetest.WithPrefill("h", nil)(w, request)
	})
	r.Selector.Limits = r.Limits
	r.Selector.EndpointChanged(listed)
	r.Limits.EndpointChanged(listed)
	r.Limits.Observe(listed, time.Now(), site.EndpointResponse{RateLimit: site.RateLimit{Stated: true, PerSecond: 1000}})
	time.Sleep(100 * time.Millisecond) // Permits are given out over time.
	r.Selector.EndpointChanged(site.Endpoint{ID: "p", Service: "model", Address: prefill.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
	addModel(r, "d-2", other.Address, 1) // Costs more than the other one.
	job := newStreamJob()
	job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, job)
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Empty(t, leaving.Requests())
	require.Len(t, prefill.Requests(), 1)
	require.Len(t, other.Requests(), 1)
	require.Equal(t, []relay.Result{relay.ResultPrefilled, relay.ResultAnswered}, []relay.Result{outcome.Calls[0].Result, outcome.Calls[1].Result})
	require.Equal(t, "d-2", outcome.Endpoint)
}

// Callers that were refused because all endpoints had asked to wait were told to return
// 0.2 to 0.5 s later, or all at the same moment.
func TestRefusedCallersReturnSpreadAfterTheFirstEndpointAcceptsAgain(t *testing.T) {
	const first, second = 2 * time.Second, 6 * time.Second
	for service, job := range map[string]func() *relay.Job{"plain": func() *relay.Job { return newJob(site.NonIdempotent) }, "model": newStreamJob} {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelay()
				for id, wait := range map[string]time.Duration{"e-1": first, "e-2": second} {
					endpoint := site.Endpoint{ID: id, Service: service, Address: "127.0.0.1:1", DataCentre: "dc-1", Slots: 8, StartedMS: 1}
					if service == "model" {
						endpoint.Stage = site.Decode
					}
					r.Selector.EndpointChanged(endpoint)
					r.Selector.Observe(endpoint, site.EndpointResponse{RetryAfter: site.RetryAfter{Stated: true, Wait: wait}})
				}
				earliest, latest := time.Hour, time.Duration(0)
				for range 200 {
					start := time.Now()
					recorder := httptest.NewRecorder()
					outcome := r.Serve(t.Context(), recorder, job())
					require.Zero(t, time.Since(start), "it waited")
					require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
					require.Equal(t, relay.ReasonAskedToWait, outcome.Reason)
					require.False(t, outcome.MayHaveRun)
					require.Zero(t, outcome.Attempts)
					seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
					require.NoError(t, err)
					after := time.Duration(seconds * float64(time.Second))
					earliest, latest = min(earliest, after), max(latest, after)
				}
				require.GreaterOrEqual(t, earliest, first)
				require.Less(t, latest, second, "they wait for the endpoint that accepts first")
				require.Greater(t, latest-earliest, 500*time.Millisecond, "they return at the same moment")
			})
		})
	}
}

// While a connection to the endpoint was being opened, another answer arrived that kept
// requests from it: the request was sent on the new connection all the same.
func TestRequestIsNotSentIfItsEndpointStatesMeanwhileThatItWantsNone(t *testing.T) {
	for name, answer := range map[string]site.EndpointResponse{
		"leaves": {Leaving: true},
		"waits":  {RetryAfter: site.RetryAfter{Stated: true, Wait: time.Minute}},
	} {
		for _, kind := range []site.RouteKind{site.Idempotent, site.NonIdempotent} {
			t.Run(name+" "+string(kind), func(t *testing.T) {
				first, second := sitetest.NewEndpoint(t, "e-1", nil), sitetest.NewEndpoint(t, "e-2", nil)
				r := newRelay(first, second)
				r.Pool.OnDial = func() {
					r.Selector.Observe(site.Endpoint{ID: "e-1", StartedMS: 1}, answer)
				}
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, newJob(kind))
				require.Equal(t, http.StatusOK, recorder.Code)
				require.Empty(t, first.Requests())
				require.Len(t, second.Requests(), 1)
				require.Equal(t, relay.ResultPassedOver, outcome.Calls[0].Result)
			})
		}
	}
}

// The same for a stream, whose prompt is read on the engine that generates or on another.
func TestStreamIsNotSentIfItsEngineStatesMeanwhileThatItWantsNone(t *testing.T) {
	for name, stage := range map[string]site.Stage{"decode": site.Decode, "prefill": site.Prefill} {
		t.Run(name, func(t *testing.T) {
			waits := sitetest.NewEndpoint(t, "e-1", sitetest.WithPrefill("h", sitetest.Events(3, 0)))
			other := sitetest.NewEndpoint(t, "e-2", sitetest.Events(3, 0))
			r := newRelay()
			listed := site.Endpoint{ID: "e-1", Service: "model", Address: waits.Address, DataCentre: "dc-1", Slots: 8, Stage: stage, StartedMS: 1}
			r.Selector.EndpointChanged(listed)
			addModel(r, "e-2", other.Address, 1)
			r.Pool.OnDial = func() {
				r.Selector.Observe(listed, site.EndpointResponse{RetryAfter: site.RetryAfter{Stated: true, Wait: time.Minute}})
			}
			job := newStreamJob()
			job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Equal(t, http.StatusOK, recorder.Code)
			require.Equal(t, relay.ResultPassedOver, outcome.Calls[0].Result)
			require.Empty(t, waits.Requests())
			require.Equal(t, "e-2", outcome.Endpoint)
		})
	}
}

// An endpoint that states long times refused the single request that it was sent, after a
// late answer to another request that it had accepted: it was used as before.
func TestLateAnswerToAnotherRequestEndsNoWait(t *testing.T) {
	address := sitetest.NewRawEndpoint(t, func(id string) string {
		return sitetest.Answer("200 OK", "other", "ok") + sitetest.RefusalText("503 Service Unavailable", id)
	})
	now := time.Now()
	r := newRelay()
	r.Selector = engines.New("dc-1", func() time.Time { return now })
	endpoint := site.Endpoint{ID: "e-1", Service: "plain", Address: address, DataCentre: "dc-1", Slots: 8, StartedMS: 1}
	r.Selector.EndpointChanged(endpoint)
	r.Selector.Observe(endpoint, site.EndpointResponse{RetryAfter: site.RetryAfter{Stated: true, Wait: 10 * availability.MaxWait}})
	now = now.Add(availability.MaxWait)
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, newJob(site.Idempotent))
	require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
	require.Equal(t, relay.ResultRefused, outcome.Calls[0].Result)
	require.False(t, r.Selector.Take(endpoint), "it is sent requests again")
}
