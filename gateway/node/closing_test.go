package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// keptConn is a connection of a caller that is kept for several requests.
type keptConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() *keptConn {
	conn, err := net.Dial("tcp", h.vm.CallerAddress)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() }) // The test is over.
	return &keptConn{t: h.t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request in pieces, with a pause between them, and reads the answer. An error
// is that of a connection that ended.
func (c *keptConn) send(pause time.Duration, pieces ...string) (status int, body string, err error) {
	response, err := c.start(pause, pieces...)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// start sends a request in pieces and reads the header of the answer.
func (c *keptConn) start(pause time.Duration, pieces ...string) (*http.Response, error) {
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(pause)
		}
		if _, err := io.WriteString(c.conn, piece); err != nil {
			return nil, err
		}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(20 * time.Second)) // TCP connections support deadlines.
	return http.ReadResponse(c.reader, nil)
}

// piecesOf returns a request in the pieces in which a caller may send it.
func piecesOf(form int, id string) []string {
	head := fmt.Sprintf("Host: h.example\r\n%s: %s\r\n%s: key\r\n%s: 5000\r\n", sitetest.HeaderRequestID, id, sitetest.HeaderAPIKey, sitetest.HeaderDeadline)
	switch form {
	case 0:
		return []string{"GET /once/x HTTP/1.1\r\n" + head + "\r\n"}
	case 1:
		return []string{"POST /once/x HTTP/1.1\r\n" + head + "Content-Length: 8\r\n\r\n", "the body"}
	case 2:
		return []string{"POST /plain/x HTTP/1.1\r\n" + head, "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n", "5\r\n body\r\n0\r\n\r\n"}
	default:
		return []string{"G", "ET /plain/x HTTP/1.1\r\n" + head + "\r\n"}
	}
}

// Parameters of the test of the close.
const (
	formsOfRequests = 4
	connsPerForm    = 120
	// closingTime is when a process that was asked to stop closes idle connections: after
	// the time in which the load balancer may still send it new ones.
	closingTime = 2500 * time.Millisecond
	// firstReuse and reuseStep spread the requests around that time.
	firstReuse = -30 * time.Millisecond
	reuseStep  = 500 * time.Microsecond
	// The first and the last requests of each form are certain to be before and after it.
	longBefore = -800 * time.Millisecond
	longAfter  = 1200 * time.Millisecond
	// beforeClose and afterClose are the times from the start of a request to the close, and
	// from there to its end. They are long, since a busy machine is late.
	beforeClose = 1500 * time.Millisecond
	afterClose  = 700 * time.Millisecond
)

// reuseAfter returns when the nth of the requests of a form is sent, from the close.
func reuseAfter(n int) time.Duration {
	switch n {
	case 0:
		return longBefore
	case connsPerForm - 1:
		return longAfter
	default:
		return firstReuse + time.Duration(n)*reuseStep
	}
}

// Idle connections are used again at each moment around the time at which a process that
// stops closes them. A request is then answered wholly, or reaches no endpoint.
func TestRequestsThatCrossTheCloseOfTheirConnectionAreNotRun(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get(sitetest.HeaderRequestID), "second") {
			time.Sleep(20 * time.Millisecond)
		}
		fmt.Fprint(w, "ok")
	})
	h.register(e, "plain", "")
	h.run()
	h.waitUntilServing(oncePath)
	var conns []*keptConn
	for i := range formsOfRequests * connsPerForm {
		c := h.dial()
		conns = append(conns, c)
		status, _, err := c.send(0, piecesOf(0, fmt.Sprintf("first%d", i))...)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
	}
	h.stop()
	closing := time.Now().Add(closingTime)
	answered, notRun := h.reuse(conns, closing)
	require.NotEmpty(t, answered, "requests before the close")
	require.NotEmpty(t, notRun, "requests after the close")
	for _, received := range e.Requests() {
		require.NotContains(t, notRun, received.Header.Get(sitetest.HeaderRequestID), "a request without an answer was run")
	}
}

// reuse sends one more request on each connection, around a time. It returns the IDs of those
// that were answered with success and of those that were refused or whose connection ended.
func (h *harness) reuse(conns []*keptConn, around time.Time) (answered, notRun []string) {
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, c := range conns {
		running.Go(func() {
			id := fmt.Sprintf("second%d", i)
			time.Sleep(time.Until(around.Add(reuseAfter(i / formsOfRequests))))
			status, body, err := c.send(10*time.Millisecond, piecesOf(i%formsOfRequests, id)...)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || status == http.StatusServiceUnavailable {
				notRun = append(notRun, id)
				return
			}
			answered = append(answered, fmt.Sprintf("%d %s", status, body))
		})
	}
	running.Wait()
	for _, answer := range answered {
		require.Equal(h.t, "200 ok", answer)
	}
	return answered, notRun
}

// What a process has begun to read when it stops accepting connections is answered: the next
// request on a kept connection, and the first one on a connection that was accepted before.
func TestRequestsThatAreReadWhileTheProcessClosesAreAnswered(t *testing.T) {
	h := newHarness(t)
	h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	h.run()
	h.waitUntilServing(oncePath)
	kept := h.dial()
	status, _, err := kept.send(0, piecesOf(0, "first")...)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	h.stop()
	time.Sleep(closingTime - beforeClose)
	conns := map[string]*keptConn{"kept": kept, "accepted": h.dial(), "accepted-whole": h.dial()}
	pieces := map[string][]string{
		"kept": piecesOf(3, "kept"), "accepted": piecesOf(3, "accepted"), // The first byte is sent alone.
		"accepted-whole": append([]string{""}, piecesOf(0, "accepted-whole")...),
	}
	var running sync.WaitGroup
	for name, c := range conns {
		running.Go(func() {
			status, _, err := c.send(beforeClose+afterClose, pieces[name]...)
			assert.NoError(t, err, name)
			assert.Equal(t, http.StatusOK, status, name)
		})
	}
	running.Wait()
	h.eventually(func() bool { return !accepts(h.vm.CallerAddress) })
}

// A response that begins while the process closes connections says so to its caller.
func TestResponseWhileTheProcessClosesSaysThatItsConnectionIsClosed(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(sitetest.HeaderRequestID) == "late" {
			time.Sleep(beforeClose + afterClose)
		}
		fmt.Fprint(w, "ok")
	})
	h.register(e, "plain", "")
	h.run()
	h.waitUntilServing(oncePath)
	answered, refused := h.dial(), h.dial()
	h.stop()
	time.Sleep(closingTime - beforeClose)
	var running sync.WaitGroup
	running.Go(func() {
		response := answered.exchange(0, piecesOf(0, "late")...)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		assert.True(t, response.Close, "answered")
	})
	running.Go(func() {
		response := refused.exchange(beforeClose+afterClose, "G", "ET /none HTTP/1.1\r\nHost: h.example\r\n\r\n")
		assert.Equal(t, http.StatusNotFound, response.StatusCode)
		assert.True(t, response.Close, "refused")
	})
	running.Wait()
}

// Guards against requests without an answer: a caller that was answered after the process was
// asked to stop used its connection again at the moment at which it was closed.
func TestResponseAfterTheRequestToStopSaysThatItsConnectionIsClosed(t *testing.T) {
	h := newHarness(t)
	h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
	h.run()
	h.waitUntilServing(oncePath)
	kept := h.dial()
	response := kept.exchange(0, piecesOf(0, "before")...)
	require.False(t, response.Close)
	_, err := io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	h.stop()
	time.Sleep(closingTime / 5)
	for name, c := range map[string]*keptConn{"kept": kept, "new": h.dial()} {
		response := c.exchange(0, piecesOf(0, name)...)
		require.Equal(t, http.StatusOK, response.StatusCode, name)
		require.True(t, response.Close, name)
	}
}

// exchange sends a request in pieces and returns the header of the response.
func (c *keptConn) exchange(pause time.Duration, pieces ...string) *http.Response {
	response, err := c.start(pause, pieces...)
	if !assert.NoError(c.t, err) {
		return &http.Response{}
	}
	return response
}

// A process closes each connection of its callers before it ends, whatever is under way.
func TestEveryConnectionIsClosedAtTheEndOfAStop(t *testing.T) {
	h := newHarness(t)
	h.vm.SetStopGracePeriod(t, 4)
	running := make(chan struct{}, 1)
	e := sitetest.NewEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(sitetest.HeaderRequestID) == "endless" {
			running <- struct{}{}
			<-r.Context().Done()
		}
		fmt.Fprint(w, "ok")
	})
	h.register(e, "plain", "")
	h.run()
	h.waitUntilServing(oncePath)
	conns := map[string]*keptConn{"unused": h.dial(), "idle": h.dial(), "half a header": h.dial(), "endless": h.dial()}
	_, _, err := conns["idle"].send(0, piecesOf(0, "first")...)
	require.NoError(t, err)
	_, err = io.WriteString(conns["half a header"].conn, "GET / HT")
	require.NoError(t, err)
	_, err = io.WriteString(conns["endless"].conn, piecesOf(0, "endless")[0])
	require.NoError(t, err)
	<-running
	h.stop()
	ended := <-h.done
	h.done <- ended // The cleanup receives it too.
	require.NoError(t, ended)
	for name, c := range conns {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Second)) // TCP connections support deadlines.
		_, err := io.Copy(io.Discard, c.reader)                 // Up to the end of the connection, after an answer if there is one.
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s: open at the end of the process", name)
	}
}
