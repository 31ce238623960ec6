package relay_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
)

// emptyAnswers are answers that say that no event is left.
func emptyAnswers() map[string]string {
	return map[string]string{
		"length 0":        sized(streamHead, ""),
		"no chunk":        chunked(streamHead, ""),
		"half a line end": sized(streamHead, "\r"),
		"a comment":       chunked(streamHead, ": done\n\n"),
		"a retry time":    chunked(strings.Replace(streamHead, "event-stream", "Event-Stream; charset=utf-8", 1), "retry: 1000\r\n\r\n"),
	}
}

// Guards against a stream that looks complete after its engine broke off and the next one
// answered without an event, and against one that is taken up for ever although its last
// event has come: it ends with the second answer that says so.
func TestStreamEndsWithoutAnEventOnlyIfTwoAnswersSayThatNoneIsLeft(t *testing.T) {
	for name, answer := range emptyAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			comments := strings.Count(answer, ": done\n\n")
			withComments := func(text string, answers int) string {
				return text + strings.Repeat(": done\n\n", comments*answers) + strings.Repeat("retry: 1000\r\n\r\n", strings.Count(answer, "retry")*answers)
			}
			serve := func(job *relay.Job, first, other, third func(http.ResponseWriter, *http.Request)) (relay.Outcome, string) {
				r, _ := newTriple(t, first, other, third)
				recorder := httptest.NewRecorder()
				return r.Serve(t.Context(), recorder, job), recorder.Body.String()
			}

			outcome, body := serve(newStreamJob(), breakAfter(6), raw(answer), raw(answer))
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, withComments(pieces(6), 2), body)
			require.Equal(t, []relay.Result{relay.ResultBroken, relay.ResultEmpty, relay.ResultEmpty}, results(outcome.Calls))

			outcome, body = serve(newStreamJob(), breakAfter(3), raw(answer), sitetest.Events(6, 0))
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, withComments(pieces(3), 1)+strings.TrimPrefix(pieces(6), pieces(3)), body)

			outcome, body = serve(newStreamJob(), breakAfter(3), raw(answer), raw(sized("HTTP/1.1 404 Not Found\r\n"+idField, "no")))
			require.Equal(t, relay.ReasonBroken, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, withComments(pieces(3), 1), body)
		})
	}
}

// Guards against a take-up of a stream that has ended which fails for ever where a single
// engine, or a single attempt, is left.
func TestTakeUpAfterTheLastEventEndsAtASingleEngine(t *testing.T) {
	for name, answer := range emptyAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			only := sitetest.NewEndpoint(t, "only", raw(answer))
			r := newRelay()
			addVersioned(r, "only", only.Address)
			job := newTakeUpJob("6")
			job.Route.MaxAttempts = 1
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, http.StatusOK, recorder.Code)
			require.Equal(t, "s", recorder.Header().Get(sitetest.HeaderEngineSeal))
			require.Len(t, only.Requests(), 2)
		})
	}
}

// Guards against a stream whose engine falls silent after its last event, and that never
// ends: two standbys that say that no event is left end it.
func TestTwoStandbysWithoutAnEventEndTheStreamOfASilentEngine(t *testing.T) {
	t.Parallel()
	silent := &hold{first: pieces(6)}
	r, _ := newTriple(t, silent.serve, raw(sized(streamHead, "")), raw(chunked(streamHead, "")))
	recorder := httptest.NewRecorder()
	outcome := r.Serve(t.Context(), recorder, newStreamJob())
	require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
	require.Equal(t, pieces(6), recorder.Body.String())
}
