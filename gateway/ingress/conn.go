package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Listener accepts the connections of callers and tracks them until they are closed, so
// that a server that stops answers each request that it has begun to read.
type Listener struct {
	net.Listener
	stopped atomic.Bool
	open    atomic.Int64
}

// NewListener returns a listener that tracks the connections of another one. ConnState must
// be set as http.Server.ConnState.
func NewListener(listener net.Listener) *Listener { return &Listener{Listener: listener} }

// Accept waits for a connection and tracks it. It returns http.ErrServerClosed after
// StopAccepting.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.stopped.Load() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &trackedConn{Conn: conn, listener: l}, nil
}

// StopAccepting closes the listener. Connections that were accepted stay open.
func (l *Listener) StopAccepting() {
	l.stopped.Store(true)
	_ = l.Listener.Close() // It is not used again.
}

// Open returns the number of connections that are open.
func (l *Listener) Open() int64 { return l.open.Load() }

// trackedConn is a connection of a caller. A server that stops closes idle connections, but
// the next request on one may have been read in part or completely. The connection then
// stays open until the request was answered.
type trackedConn struct {
	net.Conn
	listener *Listener

	mu     sync.Mutex
	active bool // A request was read up to its body, and is not answered yet.
	begun  bool // Bytes of a request were read since the connection was idle.
	failed bool // A read has failed since then: no request is to follow.
	closed bool
	unread *time.Timer // Closes it if no request was read since the server closed it.
}

// Read reads from the connection and records that a request has begun.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = c.begun || n > 0
	c.failed = c.failed || err != nil
	return n, err
}

// maxReadTime is how long a connection stays open on which a request has begun when the
// server closes it. What comes may be less than a request, such as an empty line.
const maxReadTime = 1500 * time.Millisecond

// Close closes the connection, unless a request on it is being read: the server then closes
// it after the answer.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	if !c.begun || c.active || c.failed || c.closed {
		return c.closeAndUnlock()
	}
	defer c.mu.Unlock()
	if c.unread == nil {
		c.unread = time.AfterFunc(maxReadTime, c.closeUnread)
	}
	return nil
}

// closeUnread closes the connection if no request was read since the server closed it.
func (c *trackedConn) closeUnread() {
	c.mu.Lock()
	if c.active {
		c.mu.Unlock()
		return
	}
	_ = c.closeAndUnlock() // Nothing is lost with it.
}

// closeNow closes the connection whatever is being read.
func (c *trackedConn) closeNow() error {
	c.mu.Lock()
	return c.closeAndUnlock()
}

// closeAndUnlock records that this process closes the connection, and closes it. c.mu must
// be held.
func (c *trackedConn) closeAndUnlock() error {
	first := !c.closed
	c.closed = true
	if c.unread != nil {
		c.unread.Stop()
	}
	c.mu.Unlock()
	if first {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// setState follows the state of the connection at the server.
func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = state == http.StateActive
	if state == http.StateIdle {
		c.begun, c.failed = false, false
	}
}

// ConnState tracks the state of a connection; it is set as http.Server.ConnState.
func ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	if state == http.StateClosed {
		_ = c.closeNow() // It is closed already, unless Close found that a request was being read.
		return
	}
	c.setState(state)
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
