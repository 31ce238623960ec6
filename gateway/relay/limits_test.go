package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// A request that only endpoints with used up rate limits could serve must be refused
// without any wait, with a time to come back.
func TestRequestThatNoLimitAllowsIsRefusedAtOnce(t *testing.T) {
	jobs := map[string]func() *relay.Job{"plain": func() *relay.Job { return newJob(site.NonIdempotent) }, "model": newStreamJob}
	for service, job := range jobs {
		t.Run(service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelay()
				endpoint := site.Endpoint{ID: "e-1", Service: service, Address: "127.0.0.1:1", DataCentre: "dc-1", Slots: 8, StartedMS: 1}
				if service == "model" {
					endpoint.Stage = site.Decode
				}
				r.Selector.Limits = r.Limits
				r.Selector.EndpointChanged(endpoint)
				r.Limits.EndpointChanged(endpoint)
				r.Limits.Observe(endpoint, time.Now(), site.EndpointResponse{RateLimit: site.RateLimit{Stated: true, PerSecond: 2}})
				start := time.Now()
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, job())
				require.Zero(t, time.Since(start))
				require.Equal(t, relay.ReasonRateLimited, outcome.Reason)
				require.Equal(t, "e-1", outcome.PassedOver.Any)
				require.False(t, outcome.MayHaveRun)
				require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
				require.NotEmpty(t, recorder.Header().Get("Retry-After"))
			})
		})
	}
}

// A limit that became known after an endpoint had been selected was exceeded: the answer
// of the limiter to the call itself was ignored.
func TestRequestIsNotSentWithoutAPermit(t *testing.T) {
	for service, stage := range map[string]site.Stage{"plain": "", "model": site.Decode} {
		t.Run(service, func(t *testing.T) {
			endpoint := sitetest.NewEndpoint(t, "e", sitetest.Events(3, 0))
			r := newRelay() // Its selector knows no limits.
			listed := site.Endpoint{ID: "e", Service: service, Address: endpoint.Address, DataCentre: "dc-1", Slots: 8, Stage: stage, StartedMS: 1}
			r.Selector.EndpointChanged(listed)
			r.Limits.EndpointChanged(listed)
			r.Limits.Observe(listed, time.Now(), site.EndpointResponse{RateLimit: site.RateLimit{Stated: true, PerSecond: 0.01}})
			job := newJob(site.NonIdempotent)
			if service == "model" {
				job = newStreamJob()
			}
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Empty(t, endpoint.Requests())
			require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
			require.False(t, outcome.MayHaveRun)
			require.Equal(t, relay.ResultLimited, outcome.Calls[0].Result)
		})
	}
}
