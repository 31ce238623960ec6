package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// maxBothRun is the longest time for which two endpoints may work on one request after the
// second one has begun to answer or the caller has left.
const maxBothRun = 400 * time.Millisecond

// hold is a handler that notes when its request began and was cancelled, in ns since the
// start of the test.
type hold struct {
	start            time.Time
	began, cancelled atomic.Int64
	first            string // Sent before it is silent.
	next             func(http.ResponseWriter, *http.Request)
	silence          time.Duration // Before next; it is silent for good if next is nil.
}

func (h *hold) serve(w http.ResponseWriter, r *http.Request) {
	h.began.Store(int64(time.Since(h.start)))
	if h.first != "" {
		sitetest.BeginStream(w)
		fmt.Fprint(w, h.first)
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
	}
	var after <-chan time.Time
	if h.next != nil {
		after = time.After(h.silence)
	}
	select {
	case <-after:
		h.next(w, r)
	case <-r.Context().Done():
		h.cancelled.Store(int64(time.Since(h.start)))
	}
}

// requireCancelled requires that the request was cancelled soon after a moment.
func (h *hold) requireCancelled(t *testing.T, after time.Duration) {
	t.Helper()
	require.Eventually(t, func() bool { return h.cancelled.Load() > 0 }, 5*time.Second, time.Millisecond)
	require.Less(t, time.Duration(h.cancelled.Load()), after+maxBothRun)
}

// newPair returns a relay whose streams are sent to first, and to other if need be.
func newPair(t *testing.T, first, other func(http.ResponseWriter, *http.Request)) (r *relay.Relay, firstEndpoint, otherEndpoint *sitetest.Endpoint) {
	firstEndpoint = sitetest.NewEndpoint(t, "first", first)
	otherEndpoint = sitetest.NewEndpoint(t, "other", other)
	r = newRelay()
	addModel(r, "first", firstEndpoint.Address, 8)
	addModel(r, "other", otherEndpoint.Address, 1)
	t.Cleanup(r.Selector.StreamStarted("other")) // Its only slot is taken, so that the first one is tried first.
	return r, firstEndpoint, otherEndpoint
}

// Guards against two engines at work on one stream, and against pieces of two runs: the
// silent one is cancelled at once when the other one begins, which goes on after the last
// whole event that the caller has received.
func TestStandbyReplacesASilentEngine(t *testing.T) {
	t.Parallel()
	for first, lastID := range map[string]string{"": "", "id: 1\ndata: piece 1\n\nid: 2\nda": "1"} {
		silent := &hold{start: time.Now(), first: first}
		other := &hold{start: silent.start, next: sitetest.Events(4, 0)}
		r, _, otherEndpoint := newPair(t, silent.serve, other.serve)
		recorder := httptest.NewRecorder()
		outcome := r.Serve(t.Context(), recorder, newStreamJob())
		require.Equal(t, relay.ReasonNone, outcome.Reason)
		require.Equal(t, events(4), recorder.Body.String())
		require.Equal(t, lastID, otherEndpoint.Requests()[0].Header.Get("Last-Event-Id"))
		silent.requireCancelled(t, time.Duration(other.began.Load()))
		require.Equal(t, relay.ResultSilent, outcome.Calls[0].Result)
		require.Equal(t, relay.ResultAnswered, outcome.Calls[1].Result)
		require.Equal(t, 2, outcome.Attempts)
	}
}

// Guards against two engines at work on one stream: one that goes on while the standby
// still prepares keeps the stream, and the standby is cancelled at once.
func TestStandbyEndsWhenTheSilentEngineGoesOn(t *testing.T) {
	t.Parallel()
	goOn := func(w http.ResponseWriter, _ *http.Request) {
		for id := 2; id <= 4; id++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
			_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
			time.Sleep(maxBothRun)                    // The stream must outlast the cancelled standby.
		}
	}
	first := &hold{start: time.Now(), first: "id: 1\ndata: piece 1\n\n", next: goOn, silence: silence}
	other := &hold{start: first.start}
	r, _, _ := newPair(t, first.serve, other.serve)
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, newStreamJob())
	require.Equal(t, relay.ReasonNone, outcome.Reason)
	require.Equal(t, events(4), recorder.Body.String())
	other.requireCancelled(t, silence)
	require.ElementsMatch(t, []relay.Result{relay.ResultAnswered, relay.ResultOutrun}, []relay.Result{outcome.Calls[0].Result, outcome.Calls[1].Result})
}

// Guards against a stream that is cut although a standby was under way: it is the next
// attempt when the silent engine breaks off.
func TestStandbyIsTheNextAttemptWhenTheSilentEngineBreaksOff(t *testing.T) {
	t.Parallel()
	breakOff := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	silent := &hold{start: time.Now(), first: "id: 1\ndata: piece 1\n\n", next: breakOff, silence: silence}
	other := &hold{start: silent.start, next: sitetest.Events(4, 0), silence: silence}
	r, _, otherEndpoint := newPair(t, silent.serve, other.serve)
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, newStreamJob())
	require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
	require.Equal(t, events(4), recorder.Body.String())
	require.Len(t, otherEndpoint.Requests(), 1)
}

// Guards against more runs than the route allows: while both calls are silent no third
// one begins.
func TestStandbyCountsAmongTheAttempts(t *testing.T) {
	t.Parallel()
	silent, other, third := &hold{start: time.Now()}, &hold{start: time.Now()}, &hold{start: time.Now()}
	r, _, _ := newPair(t, silent.serve, other.serve)
	thirdEndpoint := sitetest.NewEndpoint(t, "third", third.serve)
	addModel(r, "third", thirdEndpoint.Address, 1)
	defer r.Selector.StreamStarted("third")()
	job := newStreamJob()
	job.Route.MaxAttempts = 2
	job.Deadline = time.Now().Add(3 * time.Second)
	outcome := r.Serve(t.Context(), httptest.NewRecorder(), job)
	require.Equal(t, relay.ReasonDeadline, outcome.Reason)
	require.EqualValues(t, 2, min(silent.began.Load(), 1)+min(other.began.Load(), 1)+min(third.began.Load(), 1))
}

// Guards against more runs than the route allows: no further call follows a standby that
// failed.
func TestFailedStandbyCountsAmongTheAttempts(t *testing.T) {
	t.Parallel()
	silent, third := &hold{start: time.Now()}, &hold{start: time.Now()}
	r, _, other := newPair(t, silent.serve, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	addModel(r, "third", sitetest.NewEndpoint(t, "third", third.serve).Address, 1)
	defer r.Selector.StreamStarted("third")()
	r.Selector.RecordResult("third", engines.RequestFailed) // So that it is tried last.
	job := newStreamJob()
	job.Route.MaxAttempts = 2
	job.Deadline = time.Now().Add(2500 * time.Millisecond)
	require.Equal(t, relay.ReasonDeadline, r.Serve(t.Context(), httptest.NewRecorder(), job).Reason)
	require.Len(t, other.Requests(), 1)
	require.Zero(t, third.began.Load())
}

// Guards against a request that may run once and runs twice: a silence alone never has a
// second call made.
func TestOnlyRepeatableRequestsHaveAStandby(t *testing.T) {
	t.Parallel()
	first := silentEvents(4, 2)
	r, _, other := newPair(t, first, sitetest.Events(4, 0))
	job := newStreamJob()
	job.Route.Resumable = false
	recorder := httptest.NewRecorder()
	require.Equal(t, relay.ReasonNone, r.Serve(t.Context(), recorder, job).Reason)
	require.Equal(t, events(4), recorder.Body.String())
	require.Empty(t, other.Requests())
}

// Guards against engines that work on for a caller that has left: both calls are cancelled.
func TestBothCallsEndWhenTheCallerLeaves(t *testing.T) {
	jobs := map[string]*relay.Job{"model": newStreamJob(), "plain": newJob(site.Idempotent)}
	for service, job := range jobs {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			silent, other := &hold{start: time.Now()}, &hold{start: time.Now()}
			r, first, second := newPair(t, silent.serve, other.serve)
			for _, e := range []*sitetest.Endpoint{first, second} {
				r.Selector.EndpointChanged(site.Endpoint{ID: e.ID + "-plain", Service: "unused", Address: e.Address, DataCentre: "dc-1", Slots: 1, StartedMS: 1})
			}
			if service == "plain" {
				r = newRelay(first, second)
			}
			ctx, leave := context.WithCancel(t.Context())
			ended := make(chan relay.Outcome)
			go func() { ended <- r.Serve(ctx, httptest.NewRecorder(), job) }()
			require.Eventually(t, func() bool { return other.began.Load() > 0 && silent.began.Load() > 0 }, 3*time.Second, time.Millisecond)
			left := time.Since(silent.start)
			leave()
			require.Equal(t, relay.ReasonCallerLeft, (<-ended).Reason)
			silent.requireCancelled(t, left)
			other.requireCancelled(t, left)
		})
	}
}

// Guards against a failure that ends a plain request while another call may still be
// answered, and against a call that goes on after the first whole answer.
func TestFirstWholeAnswerOfTwoCallsIsForwarded(t *testing.T) {
	t.Parallel()
	fail := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	respond := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, text) }
	}
	start := time.Now()
	cases := map[string]struct {
		first, other *hold
		want         string
		cancelled    int // Which call is cancelled: 1 the first, 2 the other, 0 none.
	}{
		"the other answers first": {first: &hold{}, other: &hold{next: respond("other")}, want: "other", cancelled: 1},
		"the first answers":       {first: &hold{next: respond("first"), silence: silence}, other: &hold{}, want: "first", cancelled: 2},
		"the first fails":         {first: &hold{next: fail, silence: silence}, other: &hold{next: respond("other"), silence: silence}, want: "other"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.first.start, c.other.start = start, start
			first, other := sitetest.NewEndpoint(t, "first", c.first.serve), sitetest.NewEndpoint(t, "other", c.other.serve)
			r := newRelay(first)
			r.Selector.EndpointChanged(site.Endpoint{ID: "other", Service: "plain", Address: other.Address, DataCentre: "dc-2", Slots: 6, StartedMS: 1})
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, newJob(site.Idempotent))
			require.Equal(t, http.StatusOK, recorder.Code, "calls: %+v", outcome.Calls)
			require.Equal(t, c.want, recorder.Body.String())
			require.Equal(t, 2, outcome.Attempts)
			answered := time.Since(start)
			switch c.cancelled {
			case 1:
				c.first.requireCancelled(t, answered)
			case 2:
				c.other.requireCancelled(t, answered)
			}
		})
	}
}

// Guards against events that are missing or come twice when a silent engine goes on at
// the moment at which its standby begins.
func TestNoEventIsLostOrRepeatedWhenBothCallsMoveAtOnce(t *testing.T) {
	const step, steps = 3 * time.Millisecond, 24
	stallTimeout := 900 * time.Millisecond // Of newStreamJob.
	for i := range steps {
		t.Run(fmt.Sprintf("step %d", i), func(t *testing.T) {
			t.Parallel()
			goOn := func(w http.ResponseWriter, _ *http.Request) {
				for id := 2; id <= 4; id++ {
					fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
					_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
				}
			}
			first := &hold{start: time.Now(), first: "id: 1\ndata: piece 1\n\n", next: goOn, silence: stallTimeout + time.Duration(i-steps/4)*step}
			r, _, _ := newPair(t, first.serve, sitetest.Events(4, 0))
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, newStreamJob())
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, events(4), recorder.Body.String(), "calls: %+v", outcome.Calls)
		})
	}
}

// Guards against a process that ends with all its requests: a panic in the goroutine of a
// call, or while a standby is made, is raised in that of its request.
func TestPanicOfACallEndsItsRequestOnly(t *testing.T) {
	t.Parallel()
	plain := newRelay(sitetest.NewEndpoint(t, "e-1", nil))
	plain.OnRunStart = func(string) { panic("a fault") }
	require.Panics(t, func() { plain.Serve(t.Context(), httptest.NewRecorder(), newJob(site.Idempotent)) })

	silent := &hold{start: time.Now()}
	streams, _, _ := newPair(t, silent.serve, sitetest.Events(4, 0))
	streams.Crashes = nil // It is first used when a standby is made.
	require.Panics(t, func() { streams.Serve(t.Context(), httptest.NewRecorder(), newStreamJob()) })
	silent.requireCancelled(t, 900*time.Millisecond)
}
