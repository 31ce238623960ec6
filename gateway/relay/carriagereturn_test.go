package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a check that refuses what an engine may send in a stream.
func TestSoundStreamsGoOn(t *testing.T) {
	crlf := func(text string) string { return strings.ReplaceAll(text, "\n", "\r\n") }
	charset := strings.Replace(streamHead, "event-stream", "event-stream; charset=utf-8", 1)
	rest := strings.TrimPrefix(pieces(6), pieces(3))
	answers := map[string]struct{ first, next string }{
		"a charset":                  {charset, chunked(charset, rest)},
		"carriage returns":           {streamHead, chunked(streamHead, crlf(rest))},
		"comments and retry times":   {streamHead, chunked(streamHead, ": a\n\nretry: 10\n\nid: 4\n: b\ndata: piece 4\n\n: c\n"+strings.TrimPrefix(rest, "id: 4\ndata: piece 4\n\n"))},
		"several lines, other names": {streamHead, chunked(streamHead, "event: more\ndata: a\ndata\ndata:b\nid:4\n\nid: 5\ndata\n\nevent: end\ndata: x\n\n")},
		"other weights":              {streamHead, chunked(streamHead, "x-weight-versions: 2\n"+rest)},
		"no length or chunks":        {streamHead, streamHead + "\r\n" + rest},
	}
	for name, answer := range answers {
		for _, ending := range []string{"\n", "\r\n"} {
			t.Run(fmt.Sprintf("%s, after events with %q", name, ending), func(t *testing.T) {
				t.Parallel()
				begun := strings.ReplaceAll(pieces(3), "\n", ending)
				_, next, _ := strings.Cut(answer.next, "\r\n\r\n")
				broken := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", answer.first, len(begun), begun)
				r, _, other := newPair(t, raw(broken), raw(answer.next))
				recorder := httptest.NewRecorder()
				outcome := r.Serve(t.Context(), recorder, newStreamJob())
				require.Equal(t, relay.ReasonNone, outcome.Reason, "calls: %+v, err: %v", outcome.Calls, outcome.Err)
				require.Equal(t, "3", other.Requests()[0].Header.Get(sitetest.HeaderLastEventID))
				want := begun + next
				if strings.Contains(answer.next, "chunked") {
					_, body, _ := strings.Cut(next, "\r\n") // The size of the chunk.
					want = begun + strings.TrimSuffix(body, "\r\n0\r\n\r\n")
				}
				require.Equal(t, want, recorder.Body.String())
			})
		}
	}
}

// Guards against events that wait until the end of their stream because their lines end
// with a carriage return.
func TestEventsWithCarriageReturnsAreForwardedAsTheyArrive(t *testing.T) {
	t.Parallel()
	var b eventWaiter
	r := newRelay()
	e := sitetest.NewEndpoint(t, "e", func(w http.ResponseWriter, r *http.Request) {
		sitetest.BeginStream(w)
		fmt.Fprint(w, "id: 1\r\ndata: piece 1\r\n\r\n")
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
		b.wait(r)
		fmt.Fprint(w, "id: 2\r\ndata: piece 2\r\n\r\n")
	})
	addModel(r, "e", e.Address, 8)
	b = newEventWaiter()
	outcome := r.Serve(t.Context(), b, newStreamJob())
	require.Equal(t, relay.ReasonNone, outcome.Reason)
	require.True(t, b.early(), "the first event came only with the second")
}

// eventWaiter is a caller that notes whether it received something before its engine went on.
type eventWaiter struct {
	*httptest.ResponseRecorder
	written chan struct{}
	inTime  *bool
}

func newEventWaiter() eventWaiter {
	return eventWaiter{ResponseRecorder: httptest.NewRecorder(), written: make(chan struct{}, 1), inTime: new(bool)}
}

func (b eventWaiter) Write(data []byte) (int, error) {
	select {
	case b.written <- struct{}{}:
	default:
	}
	return b.ResponseRecorder.Write(data)
}

// wait waits until the caller has received something.
func (b eventWaiter) wait(r *http.Request) {
	select {
	case <-b.written:
		*b.inTime = true
	case <-time.After(500 * time.Millisecond):
	case <-r.Context().Done():
	}
}

func (b eventWaiter) early() bool { return *b.inTime }
