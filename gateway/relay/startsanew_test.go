package relay_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against callers that never get an answer, and engines that count as faulty: the client
// of a stream that can't be resumed sends the ID of its last event when it connects again, and
// the engine begins the stream anew.
func TestStreamThatCannotBeResumedMayBeginAnew(t *testing.T) {
	t.Parallel()
	engine := sitetest.NewEndpoint(t, "only", raw(chunked(streamHead, pieces(6))))
	r := newRelay()
	addVersioned(r, "only", engine.Address)
	job := newTakeUpJob("3")
	job.Route.Resumable = false
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, job)
	require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Equal(t, pieces(6), recorder.Body.String())
	require.Zero(t, r.Selector.Gauges()["only"]["failures_percent"])
}
