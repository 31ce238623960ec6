package relay_test

import (
	"fmt"
	"io"
	"net"
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

// answersOf returns a whole answer with a body, once for each framing.
func answersOf(body string) map[string]string {
	head := "HTTP/1.1 200 OK\r\n" + sitetest.HeaderRequestID + ": id-1\r\n" + sitetest.HeaderEngineSeal + ": e\r\n"
	return map[string]string{
		"length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": sitetest.Answer("200 OK", "id-1", body),
	}
}

// newStopped starts an endpoint that closes the connection after a part of its answer.
func (n simulatedNetwork) newStopped(t *testing.T, id, part string) *sitetest.Endpoint {
	return sitetest.NewConnEndpointOn(t, n.listen(t, id), id, func(conn net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(conn, part) // The client sees a truncated response.
		return false
	}).Endpoint()
}

// Guards against: an engine stopped within its answer and closed the connection, and callers
// got 200 with an empty or short body that looked whole.
func TestAnswerThatStopsAtAnyByteIsNotForwardedAsWhole(t *testing.T) {
	for framing, answer := range answersOf("twelve bytes") {
		for _, kind := range []site.RouteKind{site.NonIdempotent, site.Idempotent} {
			t.Run(framing+", "+string(kind), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					for end := range len(answer) + 1 {
						recorder := httptest.NewRecorder()
						network := newSimulatedNetwork()
						outcome := network.newRelay(network.newStopped(t, "e", answer[:end])).Serve(t.Context(), recorder, newJob(kind))
						if end == len(answer) {
							require.Equal(t, relay.ReasonNone, outcome.Reason)
							require.Equal(t, "twelve bytes", recorder.Body.String())
							continue
						}
						require.Equal(t, relay.ReasonMayHaveRun, outcome.Reason, "%q", answer[:end])
						require.Equal(t, http.StatusBadGateway, recorder.Code)
						require.Equal(t, "may have run: may_have_run\n", recorder.Body.String())
					}
				})
			})
		}
	}
}

// Guards against: the same, for a body that is forwarded as it arrives.
func TestLargeAnswerThatStopsIsNotForwardedAsWhole(t *testing.T) {
	const buffered = 256 << 10 // Up to this size a body is read before it is forwarded.
	body := strings.Repeat("x", buffered+buffered/2)
	for framing, answer := range answersOf(body) {
		synctest.Test(t, func(t *testing.T) {
			bodyStart := strings.Index(answer, body)
			for _, received := range []int{1, buffered - 1, buffered, buffered + 1, len(body) - 1} {
				recorder := httptest.NewRecorder()
				serve := func() {
					network := newSimulatedNetwork()
					network.newRelay(network.newStopped(t, "e", answer[:bodyStart+received])).Serve(t.Context(), recorder, newJob(site.NonIdempotent))
				}
				if received < buffered {
					serve()
					require.Equal(t, http.StatusBadGateway, recorder.Code, "%s, %d", framing, received)
					continue
				}
				require.PanicsWithValue(t, http.ErrAbortHandler, serve, "%s, %d", framing, received)
			}
		})
	}
}

// Guards against: the same, for streams.
func TestStreamThatStopsAtAnyByteIsBroken(t *testing.T) {
	for framing, answer := range answersOf(pieces(2)) {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for end := range len(answer) + 1 {
					network := newSimulatedNetwork()
					r := network.newRelay()
					addModel(r, "e", network.newStopped(t, "e", answer[:end]).Address, 8)
					job := newStreamJob()
					job.Route.Resumable = false
					recorder := httptest.NewRecorder()
					outcome := r.Serve(t.Context(), recorder, job)
					if end == len(answer) {
						require.Equal(t, relay.ReasonNone, outcome.Reason)
						require.Equal(t, pieces(2), recorder.Body.String())
						continue
					}
					if recorder.Code == http.StatusOK { // The connection to the caller is broken off.
						require.Equal(t, relay.ReasonBroken, outcome.Reason, "%q", answer[:end])
						require.True(t, strings.HasPrefix(pieces(2), recorder.Body.String()))
						continue
					}
					require.Equal(t, relay.ReasonMayHaveRun, outcome.Reason, "%q", answer[:end])
					require.Equal(t, http.StatusBadGateway, recorder.Code)
				}
			})
		})
	}
}

// Guards against: the answer of a prefill that stopped was taken for whole, and a decode engine
// was sent to a KV cache that is not there.
func TestPrefillThatStopsAtAnyByteHasNoKVCache(t *testing.T) {
	for framing, answer := range answersOf(`{"handle":"kv-1","tokens":10,"version":1}`) {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				for end := range len(answer) + 1 {
					network := newSimulatedNetwork()
					r := network.newRelay()
					decode := network.newEndpoint(t, "decode", sitetest.Events(2, 0))
					addModel(r, "decode", decode.Address, 8)
					prefill := network.newStopped(t, "prefill", answer[:end])
					r.Selector.EndpointChanged(site.Endpoint{ID: "prefill", Service: "model", Address: prefill.Address, DataCentre: "dc-1", Slots: 8, Stage: site.Prefill, StartedMS: 1})
					job := newStreamJob()
					job.Caller.Prompt = site.Prompt{InputTokens: 4000, Parts: []site.PromptPart{{ID: "a", Tokens: 10}, {ID: "b", Tokens: 3990}}}
					recorder := httptest.NewRecorder()
					outcome := r.Serve(t.Context(), recorder, job)
					require.Equal(t, relay.ReasonNone, outcome.Reason, "%q %+v", answer[:end], outcome.Calls)
					require.Equal(t, pieces(2), recorder.Body.String())
					requests := decode.Requests()
					require.Len(t, requests, 1)
					require.Equal(t, end == len(answer), requests[0].Header.Get(sitetest.HeaderKVSource) != "", "%q", answer[:end])
				}
			})
		})
	}
}
