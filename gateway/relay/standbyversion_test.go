package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stream that is ended broken: a comment of the silent engine fixed the
// version, which is no progress, and a standby of another version took the stream over.
func TestStandbyOfAnotherVersionDoesNotTakeOver(t *testing.T) {
	t.Parallel()
	commented, answered := make(chan struct{}), make(chan struct{})
	first := sitetest.NewEndpoint(t, "first", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(silence)
		sitetest.BeginStream(w)
		fmt.Fprint(w, ": comment\n\n")
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
		close(commented)
		<-answered
		time.Sleep(maxBothRun) // The answer of the standby has been decided about.
		sitetest.Events(4, 0)(w, r)
	})
	other := sitetest.NewEndpoint(t, "other", func(w http.ResponseWriter, r *http.Request) {
		<-commented
		time.Sleep(maxBothRun / 4) // The caller has got the comment.
		sitetest.Events(4, 0)(w, r)
		close(answered)
	})
	r := newRelay()
	for _, e := range []site.Endpoint{{ID: "first", Address: first.Address, Slots: 8, SoftwareVersion: "v1"}, {ID: "other", Address: other.Address, Slots: 1, SoftwareVersion: "v2"}} {
		e.Service, e.DataCentre, e.Stage, e.StartedMS = "model", "dc-1", site.Decode, 1
		r.Selector.EndpointChanged(e)
	}
	t.Cleanup(r.Selector.StreamStarted("other")) // Its only slot is taken, so that the first one is tried first.
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, newStreamJob())
	require.Len(t, other.Requests(), 1)
	require.Equal(t, relay.ReasonNone, outcome.Reason)
	require.Equal(t, ": comment\n\n"+events(4), recorder.Body.String())
}
