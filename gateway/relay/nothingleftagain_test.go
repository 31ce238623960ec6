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

// Guards against a stream that looks complete because an engine of other software, whose stream
// may be shorter, says that no event is left: its new entry was read before it had answered.
func TestStreamDoesNotEndWithTheAnswerOfOtherSoftware(t *testing.T) {
	t.Parallel()
	r := newRelay()
	r.Versions = &fakeVersions{known: map[string]string{"of-v1": "v1"}, recorded: make(map[string]string)}
	var engine *sitetest.Endpoint
	list := func(startedMS int64, version string) {
		r.Selector.EndpointChanged(site.Endpoint{ID: engine.ID, Service: "model", Address: engine.Address, DataCentre: "dc-1", Slots: 8, StartedMS: startedMS, Stage: site.Decode, SoftwareVersion: version})
	}
	engine = sitetest.NewEndpoint(t, "again", func(w http.ResponseWriter, request *http.Request) {
		if len(engine.Requests()) == 2 {
			list(2, "v2")
		}
		raw(sized(streamHead, ""))(w, request)
	})
	list(1, "v1")
	job := newTakeUpJob("3")
	job.Caller.ResumedRequestID = "of-v1"
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, job)
	require.Len(t, engine.Requests(), 2)
	require.NotEqual(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
	require.Equal(t, http.StatusBadGateway, recorder.Code)
}
