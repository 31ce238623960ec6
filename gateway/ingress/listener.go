package ingress

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"flamingospar.org/gateway/callermemory"
)

// Listener accepts the connections of callers and tracks them until they are closed, so
// that a server that stops answers each request that has arrived.
type Listener struct {
	net.Listener
	// Memory bounds what the connections hold; it may be nil. It must be set before Accept.
	Memory *callermemory.Memory

	reuseEnded  atomic.Bool // Responses say that their connection is closed.
	mu          sync.Mutex
	drainedFrom time.Time // When Drain was called.
	answersBy   time.Time // When all answers end; set by Drain.
	closed      bool      // No further connection is accepted.
	conns       map[*trackedConn]struct{}
}

// NewListener returns a listener that tracks the connections of another one. ConnState must
// be set as http.Server.ConnState.
func NewListener(listener net.Listener) *Listener {
	return &Listener{Listener: listener, conns: map[*trackedConn]struct{}{}}
}

// Accept waits for a connection and tracks it. After Drain it returns the connections that
// the system has accepted, and then http.ErrServerClosed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		if tracked := l.track(conn); tracked != nil {
			return tracked, nil
		}
	}
}

func (l *Listener) acceptNext() (net.Conn, error) {
	if l.draining() {
		return l.acceptArrived()
	}
	conn, err := l.Listener.Accept()
	if err != nil && l.draining() {
		return l.acceptArrived()
	}
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// acceptTime bounds the wait for a connection that the system has accepted.
const acceptTime = time.Second

// acceptArrived returns a connection that the system has accepted. If there is none, it
// closes the listener: the system resets those that are left.
func (l *Listener) acceptArrived() (net.Conn, error) {
	if !readable(l.Listener) {
		_ = l.Close() // It is not used again.
		return nil, http.ErrServerClosed
	}
	setAcceptDeadline(l.Listener, time.Now().Add(acceptTime))
	return l.Listener.Accept()
}

// setAcceptDeadline ends waits for connections at a time. It reports whether the listener
// has deadlines.
func setAcceptDeadline(listener net.Listener, deadline time.Time) bool {
	withDeadline, ok := listener.(interface {
		SetDeadline(deadline time.Time) error
	})
	return ok && withDeadline.SetDeadline(deadline) == nil
}

// track tracks a connection. It returns nil if it closes it since there is no place for it.
func (l *Listener) track(conn net.Conn) net.Conn {
	c := newTrackedConn(conn, l)
	c.account = l.Memory.NewAccount(c)
	l.add(c)
	if !c.account.Open() {
		_ = c.Close() // It is not used again.
		return nil
	}
	return c
}

func (l *Listener) add(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainedFrom.IsZero() {
		c.startDrained(l.drainedFrom, l.answersBy)
	}
	l.conns[c] = struct{}{}
}

func (l *Listener) untrack(c *trackedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// EndReuse has each response from now on say that its connection is closed after it, so that
// fewer connections are idle, and may just be used again, when Drain is called.
func (l *Listener) EndReuse() { l.reuseEnded.Store(true) }

// Drain ends the wait for connections and, on each connection, the wait for the next
// request. What has arrived by then is still accepted, read and answered; the server closes
// a connection after that, or if nothing has arrived. All answers end at answersBy: a request
// is read only as long as it can still be answered then.
func (l *Listener) Drain(answersBy time.Time) {
	l.EndReuse()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.drainedFrom.IsZero() {
		return
	}
	l.drainedFrom, l.answersBy = now, answersBy
	for c := range l.conns {
		c.drain(now, answersBy)
	}
	if !setAcceptDeadline(l.Listener, now) {
		_ = l.Listener.Close() // It is not used again.
	}
}

// Drained reports whether the listener and all of its connections are closed.
func (l *Listener) Drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed && len(l.conns) == 0
}

// Close closes the listener. Connections that were accepted stay open.
func (l *Listener) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	return l.Listener.Close()
}

func (l *Listener) draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.drainedFrom.IsZero()
}
