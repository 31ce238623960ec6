package relay_test

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// A take-up went to the service that was drawn for it, which may not have begun the stream. It
// goes to the one that began it if its route leads there, and on a route that was moved to an
// engine of the same version.
func TestTakeUpGoesOnAtTheServiceThatBeganIt(t *testing.T) {
	for name, c := range map[string]struct{ drawn, began string }{"split route": {"other", "model"}, "moved route": {"model", "former"}} {
		t.Run(name, func(t *testing.T) {
			r, e := newVersionedRelay(t, &fakeVersions{known: map[string]string{"x": "v1"}, service: c.began, recorded: make(map[string]string)})
			job := newModelJob()
			job.Service = c.drawn
			job.Route.Targets = []site.Target{{Service: "other", Weight: 1}, {Service: "model", Weight: 1}}
			job.Caller.LastEventID, job.Caller.ResumedRequestID = "3", "x"
			job.Header.Set(sitetest.HeaderLastEventID, "3")
			outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
			require.Equal(t, relay.ReasonNone, outcome.Reason)
			require.Len(t, e.Requests(), 1)
		})
	}
}
