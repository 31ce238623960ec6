package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against: an endpoint answered with a status that tells callers that a request did not
// run, and did not state it. The answer was passed on, so a caller could send again what had
// run.
func TestRefusalThatDoesNotStateThatNothingRanIsNotPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		answer := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
		for _, kind := range []site.RouteKind{site.NonIdempotent, site.Idempotent, site.Stream} {
			e := sitetest.NewEndpoint(t, "e", answer)
			r, job := newRelay(e), newJob(kind)
			if kind == site.Stream {
				r, job = newRelay(), newStreamJob()
				addModel(r, e.ID, e.Address, 8)
				job.Route.MaxAttempts = 1
			}
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Equal(t, http.StatusBadGateway, recorder.Code, "%d, %s", status, kind)
			require.Equal(t, relay.ReasonMayHaveRun, outcome.Reason)
			require.Empty(t, recorder.Header().Get(sitetest.HeaderEngineSeal))
			require.Len(t, e.Requests(), 1)
		}
	}
}
