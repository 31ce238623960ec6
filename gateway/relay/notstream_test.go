package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// faultyAnswers are answers to a stream that has to go on after event 3. None of them is
// one, and none shows that no event is left.
func faultyAnswers() map[string]string {
	const failure = `{"error":"no"}` + "\n\n"
	jsonHead := untypedHead + "Content-Type: application/json\r\n"
	unsealedHead := strings.Replace(streamHead, sealField, "", 1)
	return map[string]string{
		"empty, no content type":       sized(untypedHead, ""),
		"empty, no seal":               sized(unsealedHead, ""),
		"empty, no length or chunks":   streamHead + "\r\n",
		"error as JSON":                sized(jsonHead, failure),
		"error as JSON, no blank line": sized(jsonHead, strings.TrimSpace(failure)),
		"error as a stream":            sized(streamHead, failure),
		"error as a stream, chunked":   chunked(streamHead, failure),
		"error after an event":         chunked(streamHead, "id: 4\ndata: piece 4\n\n"+failure),
		"error inside an event":        chunked(streamHead, "id: 4\n"+failure),
		"error as an event":            chunked(streamHead, "data: "+failure),
		"a head as a stream":           chunked(streamHead, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
		"a head after an event":        streamHead + "\r\nid: 4\ndata: piece 4\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"events as JSON":               sized(jsonHead, "id: 4\ndata: piece 4\n\n"),
		"events, no content type":      sized(untypedHead, "id: 4\ndata: piece 4\n\n"),
		"events, no seal":              sized(unsealedHead, "id: 4\ndata: piece 4\n\n"),
		"status 204":                   "HTTP/1.1 204 No Content\r\n" + idField + sealField + "\r\n",
		"status 206":                   sized(strings.Replace(streamHead, "200 OK", "206 Partial Content", 1), "id: 4\ndata: piece 4\n\n"),
		"status 404":                   sized("HTTP/1.1 404 Not Found\r\n"+idField+sealField, failure),
		"status 500":                   sized("HTTP/1.1 500 Internal Server Error\r\n"+idField, failure),
		"status 500, no length":        "HTTP/1.1 500 Internal Server Error\r\n" + idField + "\r\n" + failure,
		"not run":                      sized("HTTP/1.1 503 Service Unavailable\r\n"+idField+sitetest.HeaderNotRun+": 1\r\n", failure),
		"a head cut inside a field":    "HTTP/1.1 200 OK\r\n" + idField + "Content-Ty",
		"a head cut after a field":     streamHead,
		"the first events again":       chunked(streamHead, pieces(6)),
		"the last event again":         chunked(streamHead, "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"),
		"an event is missing":          chunked(streamHead, "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n"),
		"an event comes twice":         chunked(streamHead, "id: 4\ndata: piece 4\n\nid: 4\ndata: piece 4\n\n"),
	}
}

// isStatus reports whether an answer has another status than 200.
func isStatus(answer string) bool { return !strings.HasPrefix(answer, "HTTP/1.1 200") }

// Guards against a stream that ends as if it were complete, or holds the text of an error,
// after the engine at which it went on answered with something else than its events.
func TestStreamDoesNotEndWithAnAnswerThatIsNoStream(t *testing.T) {
	for name, answer := range faultyAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _, other := newPair(t, sitetest.Events(6, 3), raw(answer))
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, newStreamJob())
			require.Equal(t, relay.ReasonBroken, outcome.Reason, "calls: %+v, body: %q", outcome.Calls, recorder.Body)
			require.True(t, strings.HasPrefix(pieces(6), recorder.Body.String()), recorder.Body)
			require.Len(t, other.Requests(), 1)
			require.NotEqual(t, relay.ResultAnswered, outcome.Calls[1].Result)
			if !isStatus(answer) {
				require.Error(t, outcome.Err)
			}

			r, _ = newTriple(t, sitetest.Events(6, 3), raw(answer), sitetest.Events(6, 0))
			recorder = httptest.NewRecorder()
			outcome = r.Serve(t.Context(), recorder, newStreamJob())
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v, body: %q", outcome.Calls, recorder.Body)
			require.Equal(t, pieces(6), recorder.Body.String())
		})
	}
}

// Guards against a caller that takes a stream up and is told that it is complete, or gets the
// text of an error as a part of it.
func TestTakeUpDoesNotEndWithAnAnswerThatIsNoStream(t *testing.T) {
	for name, answer := range faultyAnswers() {
		if name == "an event is missing" || name == "not run" {
			continue // How the IDs before have increased is not known; refused, and asked again later.
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			faulty := sitetest.NewEndpoint(t, "faulty", raw(answer))
			r := newRelay()
			addVersioned(r, "faulty", faulty.Address)
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, newTakeUpJob("3"))
			if isStatus(answer) && !strings.Contains(answer, " 500 ") {
				require.NotEqual(t, http.StatusOK, recorder.Code, "the engine's own status")
				return
			}
			require.NotEqual(t, relay.ReasonNone, outcome.Reason, "calls: %+v, body: %q", outcome.Calls, recorder.Body)
			if recorder.Code == http.StatusOK {
				require.Equal(t, relay.ReasonBroken, outcome.Reason)
				require.Equal(t, "id: 4\ndata: piece 4\n\n", recorder.Body.String())
			} else {
				require.NotContains(t, recorder.Body.String(), "error")
			}
		})
	}
}

// Guards against a stream without an event that looks complete, and against an error's text
// in it: another attempt follows if the request may be repeated.
func TestFirstAnswerThatIsNoStreamIsNotForwarded(t *testing.T) {
	const failure = `{"error":"no"}`
	answers := map[string]string{
		"empty":                   sized(streamHead, ""),
		"empty, no content type":  sized(untypedHead, ""),
		"no event, chunked":       chunked(streamHead, ""),
		"retry alone":             chunked(streamHead, "retry: 100\n\n"),
		"error as JSON":           sized(untypedHead+"Content-Type: application/json\r\n", failure+"\n\n"),
		"error as a stream":       chunked(streamHead, failure+"\n\n"),
		"error without a newline": chunked(streamHead, failure),
	}
	for name, answer := range answers {
		for _, resumable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, resumable: %v", name, resumable), func(t *testing.T) {
				t.Parallel()
				r, _, other := newPair(t, raw(answer), sitetest.Events(6, 0))
				job := newStreamJob()
				job.Route.Resumable = resumable
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, job)
				require.NotContains(t, recorder.Body.String(), "error")
				if resumable {
					require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
					require.Equal(t, pieces(6), strings.TrimPrefix(recorder.Body.String(), "retry: 100\n\n"))
					return
				}
				require.NotEqual(t, relay.ReasonNone, outcome.Reason)
				require.Error(t, outcome.Err)
				require.Empty(t, other.Requests())
				if recorder.Code == http.StatusOK { // Its head has come before.
					require.Equal(t, relay.ReasonBroken, outcome.Reason)
				}
			})
		}
	}
}

// Guards against a standby that ends a stream with something else than its events, or
// without any, in place of an engine that is only silent.
func TestStandbyWithoutAnEventDoesNotReplaceASilentEngine(t *testing.T) {
	answers := faultyAnswers()
	for name, answer := range emptyAnswers() {
		answers[name] = answer
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _, other := newPair(t, silentEvents(6, 3), raw(answer))
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, newStreamJob())
			require.NotEmpty(t, other.Requests())
			if outcome.Reason == relay.ReasonBroken && strings.Contains(answer, "id: 4\ndata: piece 4\n\n") {
				require.Equal(t, pieces(4), recorder.Body.String(), "it took over with its event, and broke off")
				return
			}
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, pieces(6), recorder.Body.String())
		})
	}
}

// Guards against a stream that looks complete, or holds an error's text, where its prompt was
// read elsewhere: also what answers in place of a handle, or after it, is checked.
func TestAnswersAfterAPrefillElsewhereAreChecked(t *testing.T) {
	const failure = `{"error":"no"}` + "\n\n"
	jsonHead := untypedHead + "Content-Type: application/json\r\n"
	cases := map[string]struct {
		prefill, decode func(http.ResponseWriter, *http.Request)
	}{
		"error in place of a handle":   {raw(sized(jsonHead, failure)), sitetest.Events(6, 0)},
		"stream in place of a handle":  {raw(chunked(streamHead, pieces(6))), sitetest.Events(6, 0)},
		"nothing in place of a handle": {raw(sized(jsonHead, "")), sitetest.Events(6, 0)},
		"decode answers JSON":          {sitetest.WithPrefill("h", nil), raw(sized(jsonHead, failure))},
		"decode answers nothing":       {sitetest.WithPrefill("h", nil), raw(sized(streamHead, ""))},
		"decode answers no events":     {sitetest.WithPrefill("h", nil), raw(chunked(streamHead, failure))},
		"decode answers a handle":      {sitetest.WithPrefill("h", nil), raw(sized(jsonHead, `{"handle":"h"}`+"\n\n"))},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, decode, _ := newPair(t, c.decode, sitetest.Events(6, 0))
			prefill := sitetest.NewEndpoint(t, "prefill", c.prefill)
			r.Selector.EndpointChanged(site.Endpoint{ID: "prefill", Service: "model", Address: prefill.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
			job := newStreamJob()
			job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
			recorder := httptest.NewRecorder()
			outcome := r.Serve(t.Context(), recorder, job)
			require.NotEmpty(t, prefill.Requests())
			require.NotEmpty(t, decode.Requests())
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, pieces(6), recorder.Body.String())
		})
	}
}

// Guards against an engine that keeps getting streams although it answers them with something
// else, and against one that counts as faulty because it rightly said that no event is left.
func TestAnswerThatIsNoStreamCountsAsAFailure(t *testing.T) {
	json := sized(untypedHead+"Content-Type: application/json\r\n", "{}\n\n")
	empty := sized(streamHead, "")
	cases := map[string]struct {
		last   int // Event after which the first endpoint breaks off.
		other  string
		third  func(http.ResponseWriter, *http.Request)
		failed bool
		want   relay.Result
		err    string
	}{
		"JSON":                             {3, json, sitetest.Events(6, 0), true, relay.ResultNoStream, `content type is "application/json"`},
		"no event":                         {3, chunked(streamHead, "no\n\n"), sitetest.Events(6, 0), true, relay.ResultNoStream, `a line "no"`},
		"an event again":                   {3, chunked(streamHead, pieces(3)), sitetest.Events(6, 0), true, relay.ResultNoStream, `event "1" came after event "3"`},
		"none left, another sends more":    {3, empty, sitetest.Events(6, 0), true, relay.ResultEmpty, "no event is left"},
		"none left, another says the same": {6, empty, raw(empty), false, relay.ResultEmpty, "no event is left"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, _ := newTriple(t, breakAfter(c.last), raw(c.other), c.third)
			outcome := r.Serve(t.Context(), httptest.NewRecorder(), newStreamJob())
			require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v", outcome.Calls)
			require.Equal(t, c.want, outcome.Calls[1].Result)
			require.ErrorContains(t, outcome.Err, c.err)
			require.Equal(t, c.failed, r.Selector.Gauges()["other"]["failures_percent"] > 0)
		})
	}
}
