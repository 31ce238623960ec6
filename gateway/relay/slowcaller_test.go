package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
)

// slowCaller is a caller that takes a while for one write.
type slowCaller struct {
	*httptest.ResponseRecorder
	delay time.Duration
	wrote int
	at    int
}

func (c *slowCaller) Write(data []byte) (int, error) {
	c.wrote++
	if c.wrote == c.at {
		time.Sleep(c.delay)
	}
	return c.ResponseRecorder.Write(data)
}

// Guards against standbys for callers that are slow to receive: the time of a write to the
// caller counted as a silence of the engine.
func TestSlowCallerIsNoSilenceOfItsEngine(t *testing.T) {
	for i := range 10 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			steady := func(w http.ResponseWriter, _ *http.Request) {
				sitetest.BeginStream(w)
				for id := 1; id <= 20; id++ {
					fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(100 * time.Millisecond)
				}
			}
			r, _, other := newPair(t, steady, sitetest.Events(20, 0))
			caller := &slowCaller{ResponseRecorder: httptest.NewRecorder(), delay: 1200 * time.Millisecond, at: 3}
			outcome := r.Serve(t.Context(), caller, newStreamJob())
			require.Equal(t, relay.ReasonNone, outcome.Reason)
			require.Equal(t, events(20), caller.Body.String())
			require.Len(t, outcome.Calls, 1, "calls: %+v", outcome.Calls)
			require.Empty(t, other.Requests())
		})
	}
}

// Guards against an engine that works on for nothing: a standby that was cancelled while
// the caller took long to receive was closed only after the write.
func TestCancelledStandbyEndsDuringASlowWrite(t *testing.T) {
	t.Parallel()
	goOn := func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "id: 2\ndata: piece 2\n\n")
		_ = http.NewResponseController(w).Flush()
		time.Sleep(3 * time.Second)
	}
	first := &hold{start: time.Now(), first: "id: 1\ndata: piece 1\n\n", next: goOn, silence: silence}
	other := &hold{start: first.start}
	r, _, _ := newPair(t, first.serve, func(w http.ResponseWriter, r *http.Request) {
		// The header arrives while the stream is being written to.
		other.began.Store(int64(time.Since(first.start)))
		sitetest.BeginStream(w)
		w.WriteHeader(http.StatusOK)
		time.Sleep(silence + 2*time.Millisecond - time.Since(first.start))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		other.cancelled.Store(int64(time.Since(first.start)))
	})
	caller := &slowCaller{ResponseRecorder: httptest.NewRecorder(), delay: 1500 * time.Millisecond, at: 2}
	outcome := r.Serve(t.Context(), caller, newStreamJob())
	t.Logf("%+v, other cancelled at %v", outcome.Calls, time.Duration(other.cancelled.Load()))
	other.requireCancelled(t, silence)
}
