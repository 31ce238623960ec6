package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/retrybudget"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// silence is for how long the endpoints of these tests are silent. It is longer than the
// stall timeout of newStreamJob, 0.9 s.
const silence = 1300 * time.Millisecond

// silentEvents returns a handler that streams the events up to last and is silent once,
// after the event silentAfter. Like an engine, it ends when its connection closes.
func silentEvents(last, silentAfter int) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		sitetest.BeginStream(w)
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 for a new stream.
		for id := from; id <= last; id++ {
			if id > from {
				fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
				_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
			}
			if id != silentAfter {
				continue
			}
			select {
			case <-time.After(silence):
			case <-r.Context().Done():
				return
			}
		}
	}
}

// events returns the events up to last as a caller receives them.
func events(last int) string {
	var b strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, id)
	}
	return b.String()
}

// obstacle keeps a second attempt from being served.
type obstacle struct {
	name  string
	other func(http.ResponseWriter, *http.Request) // Handler of the other endpoint.
	setUp func(*relay.Relay)
}

// unreachable is an address at which nothing listens.
const unreachable = "127.0.0.1:1"

func obstacles() []obstacle {
	noRetries := func(r *relay.Relay) {
		r.RetryBudgets = relay.NewRetryBudgets(retrybudget.Settings{Window: 10 * time.Second})
	}
	return []obstacle{
		{name: "retry budget used up", other: sitetest.Events(4, 0), setUp: noRetries},
		{name: "other endpoint refuses", other: sitetest.NotRun},
		{name: "other endpoint unreachable"},
		{name: "other endpoint fails", other: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{name: "other endpoint breaks off", other: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }},
	}
}

// otherAddress starts the other endpoint and returns its address.
func (o obstacle) otherAddress(t *testing.T) string {
	if o.other == nil {
		return unreachable
	}
	return sitetest.NewEndpoint(t, "other", o.other).Address
}

// Guards against a stream that was cut although its engine was only silent for a second
// or so: its call was ended before another one was certain.
func TestStreamOfASilentEngineIsNotCutBeforeAnotherGoesOn(t *testing.T) {
	for _, silentAfter := range []int{0, 2} {
		for _, o := range obstacles() {
			t.Run(fmt.Sprintf("after event %d, %s", silentAfter, o.name), func(t *testing.T) {
				t.Parallel()
				silent := sitetest.NewEndpoint(t, "silent", silentEvents(4, silentAfter))
				r := newRelay()
				addModel(r, "silent", silent.Address, 8)
				addModel(r, "other", o.otherAddress(t), 1)
				defer r.Selector.StreamStarted("other")() // Its only slot is taken, so that the silent one is tried first.
				if o.setUp != nil {
					o.setUp(r)
				}
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, newStreamJob())
				require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
				require.Equal(t, events(4), recorder.Body.String())
				require.Len(t, silent.Requests(), 1)
			})
		}
	}
}

// Guards against a plain request that was answered 502 although its endpoint was only
// silent: its call was ended before another one was certain.
func TestRequestAtASilentEndpointIsNotEndedBeforeAnotherAnswers(t *testing.T) {
	for _, o := range obstacles() {
		t.Run(o.name, func(t *testing.T) {
			t.Parallel()
			silent := sitetest.NewEndpoint(t, "silent", func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(silence):
					fmt.Fprint(w, "ok")
				case <-r.Context().Done():
				}
			})
			r := newRelay(silent)
			r.Selector.EndpointChanged(site.Endpoint{ID: "other", Service: "plain", Address: o.otherAddress(t), DataCentre: "dc-2", Slots: 6, StartedMS: 1})
			if o.setUp != nil {
				o.setUp(r)
			}
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, newJob(site.Idempotent))
			require.Equal(t, http.StatusOK, recorder.Code, "calls: %+v", outcome.Calls)
			require.Equal(t, "ok", recorder.Body.String())
			require.Len(t, silent.Requests(), 1)
		})
	}
}
