package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"flamingospar.org/gateway/callermemory"
)

// How long a connection waits while its listener drains.
const (
	// firstRequestTime is how long the first request of a connection is waited for, as in
	// http.Server.Shutdown.
	firstRequestTime = 5 * time.Second
	// reuseTime is how long the next request is waited for after a response that did not
	// say that the connection is closed after it.
	reuseTime = 100 * time.Millisecond
	// maxReadTime is how long the header of a request is read, from its first byte or from
	// the begin of the drain. What comes may be less than a request, such as an empty line.
	maxReadTime = 1500 * time.Millisecond
	// bodyMargin is how long before the end of all answers a body is read at the latest: its
	// request is refused then.
	bodyMargin = 500 * time.Millisecond
)

// trackedConn is a connection of a caller. While its listener drains, only reads end: the
// server then closes the connection itself, so that a request of which bytes were read, or
// have arrived, is answered.
type trackedConn struct {
	net.Conn
	listener *Listener
	account  *callermemory.Account // What is held for the connection; it may be nil.

	mu             sync.Mutex
	headCost       int64     // What is reserved for the head that is read, or was read last.
	stopped        bool      // The caller is dropped: nothing more is read of its request.
	active         bool      // A request was read up to its body, and is not answered yet.
	nextBegun      bool      // The background read has read the first byte of the next request.
	begun          time.Time // When bytes of the next request were first read.
	waitUntil      time.Time // Until when they are waited for while the listener drains.
	drainedFrom    time.Time // When the drain of the listener began.
	answersBy      time.Time // When all answers end; set while the listener drains.
	serverDeadline time.Time // The read deadline that the server has set.
	closed         bool
}

func newTrackedConn(conn net.Conn, listener *Listener) *trackedConn {
	return &trackedConn{Conn: conn, listener: listener, waitUntil: time.Now().Add(firstRequestTime)}
}

// startDrained is drain for a connection that is accepted while its listener drains already.
func (c *trackedConn) startDrained(from, answersBy time.Time) {
	c.waitUntil = time.Now().Add(maxReadTime)
	c.drain(from, answersBy)
}

// Read reads from the connection and records that a request has begun.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.extendForArrived() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.recordRead(len(p))
		c.account.Received(n)
		if !c.reserveHead(p[:n]) {
			c.refuseHead()
			return 0, errHeadRefused
		}
	}
	if err != nil && c.headStopped() {
		c.refuseHead()
		return 0, errHeadRefused
	}
	return n, err
}

// extendForArrived moves a read deadline that has passed, if bytes have arrived that were not
// read. It reports whether it did. Unless the listener drains, it does so for the first bytes
// of a request only, so that a caller can't send the rest of the header without a limit.
func (c *trackedConn) extendForArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	headerUnderWay := c.drainedFrom.IsZero() && !c.begun.IsZero()
	if c.active || c.stopped || headerUnderWay || !readable(c.Conn) {
		return false
	}
	return c.Conn.SetReadDeadline(time.Now().Add(maxReadTime)) == nil
}

// backgroundReadSize is the size of the read with which net/http notices, while a request is
// answered, that its caller has left. No other read is so small.
const backgroundReadSize = 1

// recordRead records a read of up to size bytes that has brought some.
func (c *trackedConn) recordRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active {
		c.nextBegun = c.nextBegun || size == backgroundReadSize
		return
	}
	if c.begun.IsZero() {
		c.begun = time.Now()
	}
	c.applyDrain()
}

// SetReadDeadline sets the read deadline of the server. While the listener drains, the wait
// for a request may end before it.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverDeadline = deadline
	return c.Conn.SetReadDeadline(c.readDeadline())
}

// drain ends the wait for the next request.
func (c *trackedConn) drain(now, answersBy time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainedFrom, c.answersBy = now, answersBy
	c.applyDrain()
}

// applyDrain sets the read deadline again while the listener drains. c.mu must be held.
func (c *trackedConn) applyDrain() {
	if !c.drainedFrom.IsZero() {
		_ = c.Conn.SetReadDeadline(c.readDeadline()) // Fails on a closed connection only.
	}
}

// readDeadline returns the read deadline in the present state. It depends on nothing else,
// so that no order of a drain and of deadlines of the server lets a wait go on. c.mu must be
// held.
func (c *trackedConn) readDeadline() time.Time {
	if c.stopped {
		return passedDeadline
	}
	if c.drainedFrom.IsZero() {
		return c.serverDeadline
	}
	if c.active {
		return c.bodyDeadline()
	}
	deadline := earlier(c.waitUntil, c.answersBy.Add(-maxReadTime))
	if !c.begun.IsZero() {
		deadline = earlier(later(deadline, later(c.begun, c.drainedFrom).Add(maxReadTime)), c.answersBy)
	}
	if !c.serverDeadline.IsZero() {
		deadline = earlier(deadline, c.serverDeadline)
	}
	return deadline
}

// bodyDeadline returns the read deadline while a request is answered and the listener drains. The
// server sets one only while it reads the body. c.mu must be held.
func (c *trackedConn) bodyDeadline() time.Time {
	if c.serverDeadline.IsZero() {
		return c.serverDeadline
	}
	return earlier(c.serverDeadline, c.answersBy.Add(-bodyMargin))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// CloseWrite ends what is sent. The server does so before it closes a connection of which it
// has not read everything, since the system resets that.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.listener.untrack(c)
	c.account.Close()
	return c.Conn.Close()
}

// setState follows the state of the connection at the server.
func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateIdle {
		c.headCost = 0
		c.account.EndRequest()
		c.begun = time.Time{}
		if c.nextBegun {
			c.begun = time.Now()
		}
		c.nextBegun = false
		c.waitUntil = time.Now().Add(reuseTime)
	}
	c.applyDrain()
}

// ConnState tracks the state of a connection; it is set as http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if ok && state != http.StateClosed {
		c.setState(state)
	}
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests; it is set as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connClosed reports whether this process has closed the connection of a request.
func connClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closed
}

// resetOnClose makes a connection end with a reset once it is closed. What was sent and not
// received yet is lost then.
func resetOnClose(ctx context.Context) {
	conn, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // It fails only on a connection that is closed.
	}
}

// reuseEnded reports whether the connection of a request is closed after the response.
func reuseEnded(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && conn.listener.reuseEnded.Load()
}
