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
