package ingress_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/ingress"
)

const (
	// arrivalTime is longer than what was sent takes to arrive on the same machine.
	arrivalTime = 100 * time.Millisecond
	// drainTime bounds the drain of connections on which nothing is under way.
	drainTime  = 3 * time.Second
	answerTime = 10 * time.Second
)

// hold stops a read of a connection before or after its system call.
type hold struct {
	afterCall        bool
	reached, release chan struct{}
}

// holdingListener accepts connections whose next read can be held.
type holdingListener struct {
	*net.TCPListener
	next atomic.Pointer[hold]
}

func (l *holdingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &holdingConn{TCPConn: conn, next: &l.next}, nil
}

type holdingConn struct {
	*net.TCPConn
	next *atomic.Pointer[hold]
}

func (c *holdingConn) Read(p []byte) (int, error) {
	held := c.next.Swap(nil)
	if held != nil && !held.afterCall {
		held.wait()
	}
	n, err := c.TCPConn.Read(p)
	if held != nil && held.afterCall {
		held.wait()
	}
	return n, err
}

func (h *hold) wait() {
	close(h.reached)
	<-h.release
}

// drainable is a server whose listener can be drained.
type drainable struct {
	t        *testing.T
	sockets  *holdingListener
	listener *ingress.Listener
	server   *http.Server
	onIdle   func() // Called each time a connection becomes idle, before the server waits on it.
}

func newDrainable(t *testing.T, handler http.HandlerFunc) *drainable {
	sockets, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	d := &drainable{t: t, sockets: &holdingListener{TCPListener: sockets.(*net.TCPListener)}, onIdle: func() {}}
	d.listener = ingress.NewListener(d.sockets)
	d.server = &http.Server{Handler: handler, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, ConnContext: ingress.ConnContext}
	d.server.ConnState = func(conn net.Conn, state http.ConnState) {
		ingress.ConnState(conn, state)
		if state == http.StateIdle {
			d.onIdle()
		}
	}
	t.Cleanup(func() { _ = d.server.Close() }) // The test is over.
	return d
}

func (d *drainable) serve() {
	go func() { _ = d.server.Serve(d.listener) }() // It ends with the test.
}

// callerConn is a connection of a caller.
type callerConn struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (d *drainable) dial() *callerConn {
	conn, err := net.Dial("tcp", d.sockets.Addr().String())
	require.NoError(d.t, err)
	d.t.Cleanup(func() { _ = conn.Close() }) // The test is over.
	return &callerConn{t: d.t, Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *callerConn) write(data string) {
	c.t.Helper()
	_, err := io.WriteString(c, data)
	require.NoError(c.t, err)
}

// requireAnswer requires a whole response.
func (c *callerConn) requireAnswer() {
	c.t.Helper()
	require.NoError(c.t, c.SetReadDeadline(time.Now().Add(answerTime)))
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err, "the connection of a whole request ended without a response")
	body, err := io.ReadAll(response.Body)
	require.NoError(c.t, err)
	require.Equal(c.t, "ok", string(body))
}

func (d *drainable) requireDrained() {
	d.t.Helper()
	require.Eventually(d.t, d.listener.Drained, drainTime, 20*time.Millisecond)
}

// Guards against requests without an answer: a stop closed an idle connection whose next
// request had arrived, but was not noted as read.
func TestRequestThatHasArrivedOnAnIdleConnectionIsAnswered(t *testing.T) {
	for name, afterCall := range map[string]bool{"not read": false, "read by a system call, not noted": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainable(t, answerOK)
			held := &hold{afterCall: afterCall, reached: make(chan struct{}), release: make(chan struct{})}
			d.onIdle = func() { d.sockets.next.Store(held) }
			d.serve()
			c := d.dial()
			c.write(postRequest)
			c.requireAnswer()
			if !afterCall {
				<-held.reached
			}
			c.write(postRequest)
			<-held.reached
			time.Sleep(arrivalTime)
			d.listener.Drain(time.Now().Add(time.Minute))
			time.Sleep(arrivalTime) // The drain does all that it can before the read goes on.
			close(held.release)
			c.requireAnswer()
			d.requireDrained()
		})
	}
}

// Guards against a drain that hangs: the server may set its own read deadline, of minutes, on
// a connection after the drain has ended the wait on it.
func TestReadDeadlineOfTheServerDoesNotOutlastADrain(t *testing.T) {
	d := newDrainable(t, answerOK)
	d.onIdle = func() { d.listener.Drain(time.Now().Add(time.Minute)) }
	d.serve()
	c := d.dial()
	c.write(postRequest)
	c.requireAnswer()
	d.requireDrained()
}

// Guards against requests without an answer: a stop reset connections that the system had
// accepted and the process had not.
func TestRequestsOnConnectionsThatWaitToBeAcceptedAreAnswered(t *testing.T) {
	const waiting = 20
	d := newDrainable(t, answerOK)
	accepting, release := make(chan struct{}, waiting+1), make(chan struct{})
	d.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		accepting <- struct{}{}
		<-release // Holds the loop that accepts connections.
		return ingress.ConnContext(ctx, conn)
	}
	d.serve()
	conns := []*callerConn{d.dial()}
	<-accepting
	for range waiting {
		conns = append(conns, d.dial())
	}
	for _, c := range conns {
		c.write(postRequest)
	}
	time.Sleep(arrivalTime)
	d.listener.Drain(time.Now().Add(time.Minute))
	close(release)
	for _, c := range conns {
		c.requireAnswer()
	}
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp", d.sockets.Addr().String())
		if err == nil {
			_ = conn.Close() // Only whether it is accepted counts.
		}
		return err != nil
	}, drainTime, 20*time.Millisecond, "the listener must be closed")
}

// answerInParts returns a handler that sends a part of its response, reports it, and sends the
// rest once end is closed.
func answerInParts(began chan<- struct{}, end <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "o")             // An error shows at the caller.
		_ = http.NewResponseController(w).Flush() // The same.
		began <- struct{}{}
		<-end
		_, _ = io.WriteString(w, "k") // The same.
	}
}

// Guards against requests without an answer: a response that began before the drain does not
// say that its connection is closed, so that its caller may use it again at once.
func TestConnectionUsedAgainAfterAResponseThatBeganBeforeTheDrainIsAnswered(t *testing.T) {
	began, end := make(chan struct{}, 2), make(chan struct{})
	d := newDrainable(t, answerInParts(began, end))
	d.serve()
	c := d.dial()
	c.write(postRequest)
	<-began
	d.listener.Drain(time.Now().Add(time.Minute))
	close(end)
	c.requireAnswer()
	c.write(postRequest)
	c.requireAnswer()
	d.requireDrained()
}

// Guards against requests without an answer: an idle connection was closed at its idle time
// though its next request had arrived, which a process that was frozen meets.
func TestRequestThatArrivedBeforeTheIdleTimeIsAnswered(t *testing.T) {
	const idleTime = 200 * time.Millisecond
	d := newDrainable(t, answerOK)
	d.server.IdleTimeout = idleTime
	held := &hold{reached: make(chan struct{}), release: make(chan struct{})}
	d.onIdle = func() { d.sockets.next.Store(held) }
	d.serve()
	c := d.dial()
	c.write(postRequest)
	c.requireAnswer()
	<-held.reached
	c.write(postRequest)
	time.Sleep(idleTime + arrivalTime) // The idle time ends before the server reads.
	close(held.release)
	c.requireAnswer()
}

// Guards against callers that hold a connection: the time for a header ends although more of
// it has arrived.
func TestHeaderThatGoesOnAfterItsTimeIsNotWaitedFor(t *testing.T) {
	const headerTime, closeTime = time.Second, time.Second
	d := newDrainable(t, answerOK)
	d.server.ReadHeaderTimeout = headerTime
	held := &hold{afterCall: true, reached: make(chan struct{}), release: make(chan struct{})}
	d.sockets.next.Store(held)
	d.serve()
	c := d.dial()
	c.write("GET /")
	<-held.reached
	c.write("x")
	time.Sleep(headerTime + arrivalTime)
	close(held.release)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(closeTime)))
	_, err := io.Copy(io.Discard, c)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection must be closed")
}

// Guards against requests without an answer: the first byte of a request, read before the
// response to the one before had ended, did not count as its beginning.
func TestRequestThatBeginsBeforeTheEndOfAResponseIsAnswered(t *testing.T) {
	// pause is longer than a connection is read again for after a response.
	const pause = 400 * time.Millisecond
	began, end := make(chan struct{}, 2), make(chan struct{})
	d := newDrainable(t, answerInParts(began, end))
	d.serve()
	c := d.dial()
	c.write(postRequest)
	<-began
	c.write(postRequest[:1])
	time.Sleep(arrivalTime)
	d.listener.Drain(time.Now().Add(time.Minute))
	close(end)
	c.requireAnswer()
	time.Sleep(pause)
	c.write(postRequest[1:])
	c.requireAnswer()
	d.requireDrained()
}

// A caller that leaves is noticed at once while the listener drains, and not before it leaves.
func TestCallerThatLeavesDuringADrainIsNoticed(t *testing.T) {
	const stay = 2 * time.Second // Longer than each wait of a drain for a request that has begun.
	began, left := make(chan struct{}), make(chan struct{})
	d := newDrainable(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(left)
	})
	d.serve()
	c := d.dial()
	c.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	<-began
	d.listener.Drain(time.Now().Add(time.Minute))
	select {
	case <-left:
		require.Fail(t, "the drain ended a request")
	case <-time.After(stay):
	}
	require.NoError(t, c.Close())
	select {
	case <-left:
	case <-time.After(drainTime):
		require.Fail(t, "the handler did not learn that its caller has left")
	}
	d.requireDrained()
}
