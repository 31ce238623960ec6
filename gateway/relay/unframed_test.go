package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// pieces returns the events that sitetest.Events sends.
func pieces(last int) string {
	recorder := httptest.NewRecorder()
	sitetest.Events(last, 0)(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	return recorder.Body.String()
}

// serveUnframed serves a job at an endpoint whose response is not framed. If that fails,
// a healthy one is left.
func serveUnframed(t *testing.T, job *relay.Job, body string, reset bool) (outcome relay.Outcome, answer string, requests int64) {
	faulty := sitetest.NewUnframedEndpoint(t, body, reset)
	healthy := sitetest.NewEndpoint(t, "healthy", sitetest.Events(6, 0))
	return serveUnframedAt(t, newRelay(), faulty, healthy, job)
}

// serveUnframedIn is serveUnframed in a simulated network.
func serveUnframedIn(t *testing.T, network simulatedNetwork, job *relay.Job, body string, reset bool) (outcome relay.Outcome, answer string, requests int64) {
	faulty := network.newUnframed(t, "faulty", body, reset)
	healthy := network.newEndpoint(t, "healthy", sitetest.Events(6, 0))
	return serveUnframedAt(t, network.newRelay(), faulty, healthy, job)
}

func serveUnframedAt(t *testing.T, r *relay.Relay, faulty *sitetest.UnframedEndpoint, healthy *sitetest.Endpoint, job *relay.Job) (outcome relay.Outcome, answer string, requests int64) {
	if job.Service == "model" {
		addModel(r, "faulty", faulty.Address, 8)
		addModel(r, "healthy", healthy.Address, 1) // Its only slot is taken, so that the faulty one is tried first.
		defer r.Selector.StreamStarted("healthy")()
	} else {
		for _, e := range []site.Endpoint{{ID: "faulty", Address: faulty.Address}, {ID: "healthy", Address: healthy.Address}} {
			e.Service, e.DataCentre, e.Slots, e.StartedMS = "plain", "dc-1", 6, 1
			r.Selector.EndpointChanged(e)
		}
	}
	recorder := httptest.NewRecorder()
	outcome = r.Serve(t.Context(), recorder, job)
	require.EqualValues(t, 1, faulty.Requests.Load())
	return outcome, recorder.Body.String(), int64(len(healthy.Requests()))
}

// A stream without a length or chunks that broke off inside an event, or before its
// first, was taken as complete when its connection ended.
func TestUnframedStreamIsCompleteOnlyAfterAWholeEvent(t *testing.T) {
	cases := map[string]struct {
		body   string
		reset  bool
		broken bool
	}{
		"whole":                    {pieces(6), false, false},
		"inside an event":          {pieces(3) + "id: 4\nda", false, true},
		"after a field":            {pieces(3) + "id: 4\ndata: piece 4\n", false, true},
		"before its first event":   {"", false, true},
		"reset after an event":     {pieces(3), true, true},
		"reset inside an event":    {pieces(3) + "id: 4\nda", true, true},
		"a comment after an event": {pieces(6) + ": done\n\n", false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := newStreamJob()
				job.Route.Resumable = false
				outcome, answer, retries := serveUnframedIn(t, newSimulatedNetwork(), job, c.body, c.reset)
				require.Zero(t, retries)
				if c.broken {
					require.NotEqual(t, relay.ReasonNone, outcome.Reason)
					if outcome.Reason == relay.ReasonBroken { // Otherwise the answer is a failure.
						require.True(t, strings.HasPrefix(c.body, answer), answer)
					}
				} else {
					require.Equal(t, relay.ReasonNone, outcome.Reason)
					require.Equal(t, c.body, answer)
				}

				outcome, answer, retries = serveUnframedIn(t, newSimulatedNetwork(), newStreamJob(), c.body, c.reset)
				require.Equal(t, relay.ReasonNone, outcome.Reason)
				if c.broken {
					require.EqualValues(t, 1, retries)
					require.Equal(t, pieces(6), answer, "the stream goes on at another endpoint")
				} else {
					require.Equal(t, c.body, answer)
				}
			})
		})
	}
}

// A stream that ends inside an event has been broken off, also where its chunks are whole.
func TestFramedStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	cut := sitetest.NewEndpoint(t, "cut", func(w http.ResponseWriter, _ *http.Request) {
		sitetest.BeginStream(w)
		_, _ = w.Write([]byte(pieces(2) + "id: 3\nda")) // The recorder shows what came.
	})
	r := newRelay()
	addModel(r, "cut", cut.Address, 8)
	job := newStreamJob()
	job.Route.Resumable = false
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonBroken, outcome.Reason)
}

// A plain response without a length is complete when its connection ends, and not if it
// is reset.
func TestUnframedPlainResponse(t *testing.T) {
	large := strings.Repeat("x", 300<<10) // More than is buffered.
	for name, body := range map[string]string{"small": "hello", "large": large, "empty": ""} {
		t.Run(name, func(t *testing.T) {
			outcome, answer, retries := serveUnframed(t, newJob(site.NonIdempotent), body, false)
			require.Equal(t, relay.ReasonNone, outcome.Reason)
			require.Equal(t, body, answer)
			require.Zero(t, retries)
		})
	}
	t.Run("reset", func(t *testing.T) {
		outcome, answer, retries := serveUnframed(t, newJob(site.NonIdempotent), "hello", true)
		require.Equal(t, relay.ReasonMayHaveRun, outcome.Reason)
		require.NotContains(t, answer, "hello")
		require.Zero(t, retries)
		outcome, _, retries = serveUnframed(t, newJob(site.Idempotent), "hello", true)
		require.Equal(t, relay.ReasonNone, outcome.Reason)
		require.EqualValues(t, 1, retries)
	})
	t.Run("large, reset after what is buffered", func(t *testing.T) {
		require.PanicsWithValue(t, http.ErrAbortHandler, func() { serveUnframed(t, newJob(site.Idempotent), large, true) })
	})
}
