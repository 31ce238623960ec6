package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener accepts the connections of callers and tracks them until they are closed, so
// that a server that stops answers each request that has arrived.
type Listener struct {
	net.Listener

	mu          sync.Mutex
	drainedFrom time.Time // When Drain was called.
	conns       map[*trackedConn]struct{}
}

// NewListener returns a listener that tracks the connections of another one. ConnState must
// be set as http.Server.ConnState.
func NewListener(listener net.Listener) *Listener {
	return &Listener{Listener: listener, conns: map[*trackedConn]struct{}{}}
}

// Accept waits for a connection and tracks it. It returns http.ErrServerClosed after Drain.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.draining() {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	return l.track(conn), nil
}

func (l *Listener) track(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := newTrackedConn(conn, l, l.drainedFrom)
	l.conns[c] = struct{}{}
	return c
}

func (l *Listener) untrack(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// Drain closes the listener and ends, on each connection, the wait for the next request. What
// has arrived by then is still read and answered; the server closes a connection after that,
// or if nothing has arrived.
func (l *Listener) Drain() {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainedFrom.IsZero() {
		return
	}
	l.drainedFrom = now
	for c := range l.conns {
		c.drain(now)
	}
	_ = l.Listener.Close() // It is not used again.
}

// Drained reports whether the listener and all of its connections are closed.
func (l *Listener) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.drainedFrom.IsZero() && len(l.conns) == 0
}

func (l *Listener) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.drainedFrom.IsZero()
}
