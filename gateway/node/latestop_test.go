package node_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Times of the tests of requests that come late in a stop.
const (
	longRun = 3600 * time.Millisecond // Of an endpoint for one request.
	// timeLimitMS is that of the callers. It ends after the process.
	timeLimitMS = 9000
	// stopTime is the stop grace period.
	stopTime = 8 * time.Second
	// firstUse is when the first request of a connection is sent that was opened during the stop.
	firstUse = 2400 * time.Millisecond
)

// longStream sends events for longRun.
func longStream(w http.ResponseWriter, r *http.Request) {
	const events = 12
	sitetest.BeginStream(w)
	for id := range events {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id+1, id+1)
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
		select {
		case <-time.After(longRun / events):
		case <-r.Context().Done():
			return
		}
	}
}

// longAnswer answers after longRun.
func longAnswer(w http.ResponseWriter, r *http.Request) {
	select {
	case <-time.After(longRun):
		fmt.Fprint(w, "whole")
	case <-r.Context().Done():
	}
}

// lateRequest is what the caller of one request saw that was sent after the request to stop.
type lateRequest struct {
	after  time.Duration // From the request to stop until it was sent.
	status int
	err    error // Of a response that is not whole.
}

// lateCallers send requests on kept connections while a process stops.
type lateCallers struct {
	h    *harness
	path string
	mu   sync.Mutex
	stop time.Time // When the process was asked to stop; zero before.
	sent map[string]lateRequest
}

func (l *lateCallers) stopped() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stop
}

// keepSending sends one request after the other on a connection, as long as it may be used.
func (l *lateCallers) keepSending(c *keptConn, id string, pieces func(id string) []string) {
	for n := 0; ; n++ {
		name := fmt.Sprintf("%s-%d", id, n)
		sent := time.Now()
		response, err := c.start(50*time.Millisecond, pieces(name)...)
		seen := lateRequest{err: err}
		if err == nil {
			seen.status = response.StatusCode
			_, seen.err = io.Copy(io.Discard, response.Body)
		}
		if stop := l.stopped(); !stop.IsZero() && sent.After(stop) {
			seen.after = sent.Sub(stop)
			l.mu.Lock()
			l.sent[name] = seen
			l.mu.Unlock()
		}
		if seen.err != nil || response.Close {
			return
		}
	}
}

// piecesFor returns a request as a function of its ID, in the pieces in which it is sent.
func (l *lateCallers) piecesFor(chunked bool) func(id string) []string {
	return func(id string) []string {
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: key\r\n%s: 4000,20\r\n%s: aa:2000,bb:2000\r\n%s: %d\r\n",
			l.path, sitetest.HeaderRequestID, id, sitetest.HeaderAPIKey, sitetest.HeaderTokenCount, sitetest.HeaderPromptPrefix, sitetest.HeaderDeadline, timeLimitMS)
		if chunked {
			return []string{head + "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n", "5\r\n body\r\n0\r\n\r\n"}
		}
		return []string{head + "Content-Length: 8\r\n\r\nthe body"}
	}
}

// Guards against answers that are cut at the end of a stop: requests that came late in it, on
// connections kept for the next request or opened just before, were sent to an endpoint although
// it could not end them in time. Each is answered wholly, or reaches no endpoint.
func TestRequestsThatWouldOutlastAStopReachNoEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		path, service, stage string
		serve                func(http.ResponseWriter, *http.Request)
	}{
		"stream":                     {modelPath, "model", "decode", longStream},
		"stream that may be resumed": {streamPath, "model", "decode", longStream},
		"may not be repeated":        {oncePath, "plain", "", longAnswer},
		"may be repeated":            {plainPath, "plain", "", longAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			const kept, opened = 12, 4
			h := newHarness(t)
			e := sitetest.NewEndpoint(t, "e1", c.serve)
			h.register(e, c.service, c.stage)
			h.run()
			time.Sleep(200 * time.Millisecond) // The endpoint is listed.
			l := &lateCallers{h: h, path: c.path, sent: map[string]lateRequest{}}
			var running sync.WaitGroup
			for i := range kept {
				running.Go(func() { l.keepSending(h.dial(), fmt.Sprintf("kept%d", i), l.piecesFor(i%2 == 1)) })
				time.Sleep(longRun / kept)
			}
			l.mu.Lock()
			l.stop = time.Now()
			l.mu.Unlock()
			h.stop()
			for i := range opened {
				time.Sleep(300 * time.Millisecond)
				conn := h.dial()
				running.Go(func() {
					time.Sleep(firstUse)
					l.keepSending(conn, fmt.Sprintf("opened%d", i), l.piecesFor(i%2 == 1))
				})
			}
			running.Wait()
			l.requireWholeOrNotRun(e)
		})
	}
}

func (l *lateCallers) requireWholeOrNotRun(e *sitetest.Endpoint) {
	reached := map[string]bool{}
	for _, r := range e.Requests() {
		reached[r.Header.Get(sitetest.HeaderRequestID)] = true
	}
	refused := 0
	for id, seen := range l.sent {
		if reached[id] {
			require.NoError(l.h.t, seen.err, "%s was sent to the endpoint %v after the request to stop, and cut", id, seen.after)
			require.Equal(l.h.t, http.StatusOK, seen.status, id)
			continue
		}
		if seen.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	require.NotZero(l.h.t, refused, "no request came that was too late to be sent")
}

// Guards against answers that are missing: what has not begun to be answered at the end of a
// stop was cut without a word. Its caller is told whether it can have run.
func TestRequestsWithoutAnAnswerAtTheEndOfAStopAreToldWhatIsKnown(t *testing.T) {
	h := newHarness(t)
	hang := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	h.register(sitetest.NewEndpoint(t, "p", hang), "plain", "")
	h.register(sitetest.NewEndpoint(t, "m1", hang), "model", "prefill")
	h.register(sitetest.NewEndpoint(t, "m2", nil), "model", "decode")
	h.run()
	time.Sleep(200 * time.Millisecond) // The endpoints are listed.
	plain, model := &lateCallers{path: oncePath}, &lateCallers{path: modelPath}
	long := func(l *lateCallers) []string { return l.piecesFor(false)("long") }
	half := plain.piecesFor(true)("half")
	var running sync.WaitGroup
	ended := make(chan struct{})
	for name, c := range map[string]struct {
		pieces []string
		status int
	}{
		"at its endpoint": {long(plain), http.StatusBadGateway},
		"being prefilled": {long(model), http.StatusServiceUnavailable},
		"half of a body":  {half[:1], http.StatusRequestTimeout},
	} {
		conn := h.dial()
		_, err := io.WriteString(conn.conn, c.pieces[0])
		require.NoError(t, err)
		running.Go(func() {
			status, _, err := conn.send(0)
			assert.NoError(t, err, name)
			assert.Equal(t, c.status, status, name)
			select {
			case <-ended:
				assert.Fail(t, "after the end of the process", name)
			default:
			}
		})
	}
	time.Sleep(200 * time.Millisecond) // The requests have arrived.
	stopped := time.Now()
	h.stop()
	running.Wait()
	close(ended)
	require.Less(t, time.Since(stopped), stopTime)
}
