package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: an engine that had started again under its ID with other
// software was sent a stream of the version before, and its new entry was read before its first
// event arrived, which the caller got.
func TestStreamDoesNotGoOnAtAnEngineThatIsListedWithOtherSoftwareMeanwhile(t *testing.T) {
	for name, c := range map[string]struct {
		listed   string // The version of the engine in its new entry.
		goesOnAt string
	}{
		"other software": {listed: "v2", goesOnAt: "stays"},
		"same software":  {listed: "v1", goesOnAt: "again"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRelay()
			r.Versions = &fakeVersions{known: map[string]string{"of-v1": "v1"}, recorded: make(map[string]string)}
			endpoint := site.Endpoint{Service: "model", DataCentre: "dc-1", Slots: 8, StartedMS: 1, Stage: site.Decode, SoftwareVersion: "v1"}
			list := func(e *sitetest.Endpoint, startedMS int64, version string) {
				listed := endpoint
				listed.ID, listed.Address, listed.StartedMS, listed.SoftwareVersion = e.ID, e.Address, startedMS, version
				r.Selector.EndpointChanged(listed)
			}
			events := func(id string) func(http.ResponseWriter, *http.Request) {
				return func(w http.ResponseWriter, _ *http.Request) {
					sitetest.BeginStream(w)
					fmt.Fprintf(w, "id: 4\ndata: of %s\n\n", id) // An error shows in what the caller receives.
				}
			}
			var again *sitetest.Endpoint
			again = sitetest.NewEndpoint(t, "again", func(w http.ResponseWriter, request *http.Request) {
				list(again, 2, c.listed)
				list(sitetest.NewEndpoint(t, "stays", events("stays")), 1, "v1")
				events("again")(w, request)
			})
			list(again, 1, "v1")
			job := newModelJob()
			job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", "of-v1"
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Len(t, again.Requests(), 1)
			require.Equal(t, relay.ReasonNone, outcome.Reason)
			require.Equal(t, fmt.Sprintf("id: 4\ndata: of %s\n\n", c.goesOnAt), recorder.Body.String())
		})
	}
}
