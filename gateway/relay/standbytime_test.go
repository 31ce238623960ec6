package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a further call, and a mark against a sound endpoint, when the silent one
// fails: its standby counted as silent as soon as it was alone.
func TestStandbyIsSilentOnlyAfterItsOwnTime(t *testing.T) {
	for name, fail := range map[string]func(http.ResponseWriter, *http.Request){
		"fails":   func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		"refuses": sitetest.NotRun,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := &hold{start: time.Now(), next: fail, silence: 1000 * time.Millisecond}
			answer := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }
			second := &hold{start: time.Now(), next: answer, silence: 500 * time.Millisecond}
			a, b := sitetest.NewEndpoint(t, "first", first.serve), sitetest.NewEndpoint(t, "second", second.serve)
			c := sitetest.NewEndpoint(t, "third", second.serve)
			r := newRelay(a)
			for _, e := range []*sitetest.Endpoint{b, c} {
				r.Selector.EndpointChanged(site.Endpoint{ID: e.ID, Service: "plain", Address: e.Address, DataCentre: "dc-2", Slots: 6, StartedMS: 1})
			}
			job := newJob(site.Idempotent)
			job.Route.MaxAttempts = 3
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Equal(t, http.StatusOK, recorder.Code)
			require.Equal(t, 1, len(b.Requests())+len(c.Requests()), "calls: %+v", outcome.Calls)
		})
	}
}
