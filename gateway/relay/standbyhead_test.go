package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stream that is cut although its engine was only silent: a standby that
// sent only the header of its answer ended the silent call, and then broke off or fell silent.
func TestStandbyTakesOverOnlyWithAnEvent(t *testing.T) {
	header := func(w http.ResponseWriter) {
		sitetest.BeginStream(w)
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	others := map[string]func(http.ResponseWriter, *http.Request){
		"breaks off": func(w http.ResponseWriter, _ *http.Request) { header(w); panic(http.ErrAbortHandler) },
		"is silent":  func(w http.ResponseWriter, r *http.Request) { header(w); <-r.Context().Done() },
	}
	for name, other := range others {
		for _, silentAfter := range []int{0, 2} {
			t.Run(fmt.Sprintf("%s, after event %d", name, silentAfter), func(t *testing.T) {
				t.Parallel()
				r, silent, _ := newPair(t, silentEvents(4, silentAfter), other)
				job := newStreamJob()
				job.Route.MaxAttempts = 2
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, job)
				require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
				require.Equal(t, events(4), recorder.Body.String())
				require.Len(t, silent.Requests(), 1)
			})
		}
	}
}
