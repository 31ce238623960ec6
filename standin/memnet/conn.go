package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBytes bounds what one direction of a connection holds, like a socket buffer.
const pipeBytes = 64 << 10

type segment struct {
	data  []byte
	ready time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	mu       sync.Mutex
	latency  time.Duration
	ends     [2]*Host
	segments []segment
	held     int
	silent   bool
	closed   bool  // By the writer: the reader gets io.EOF after what is held.
	broken   error // By a fault: both sides get it at once.
	changed  chan struct{}
}

func newPipe(latency time.Duration, from, to *Host) *pipe {
	return &pipe{latency: latency, ends: [2]*Host{from, to}, changed: make(chan struct{})}
}

func (p *pipe) paused() bool { return p.ends[0].paused() || p.ends[1].paused() }

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}

// notify wakes all waiters. The caller holds mu.
func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken == nil {
		p.broken = err
	}
	p.notify()
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
	p.segments = nil
	p.held = 0
	p.notify()
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.notify()
}

// tryWrite takes data if there is room; else it returns what to wait for.
func (p *pipe) tryWrite(data []byte) (int, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken != nil {
		return 0, nil, p.broken
	}
	if p.closed {
		return 0, nil, io.ErrClosedPipe
	}
	if p.silent {
		return len(data), nil, nil
	}
	room := pipeBytes - p.held
	if p.paused() {
		room = len(data)
	}
	if room <= 0 {
		return 0, p.changed, nil
	}
	if len(data) > room {
		data = data[:room]
	}
	p.segments = append(p.segments, segment{data: append([]byte(nil), data...), ready: time.Now().Add(p.latency)})
	p.held += len(data)
	p.notify()
	return len(data), nil, nil
}

// tryRead copies arrived bytes; else it returns what to wait for and how long.
func (p *pipe) tryRead(buffer []byte) (int, <-chan struct{}, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken != nil {
		return 0, nil, 0, p.broken
	}
	if p.paused() {
		return 0, p.changed, 0, nil
	}
	if len(p.segments) == 0 {
		if p.closed && !p.silent {
			return 0, nil, 0, io.EOF
		}
		return 0, p.changed, 0, nil
	}
	first := &p.segments[0]
	if wait := time.Until(first.ready); wait > 0 {
		return 0, p.changed, wait, nil
	}
	n := copy(buffer, first.data)
	first.data = first.data[n:]
	p.held -= n
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.notify()
	return n, nil, 0, nil
}

// conn is one end of a connection.
type conn struct {
	network *Network
	host    *Host // Whose end this is.
	local   string
	remote  string
	in      *pipe
	out     *pipe

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

func (c *conn) fail(err error) {
	c.in.fail(err)
	c.out.fail(err)
	delete(c.network.conns, c)
}

func (c *conn) silence() {
	c.in.silence()
	c.out.silence()
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, changed, wait, err := c.in.tryRead(buffer)
		if n > 0 || err != nil || len(buffer) == 0 {
			return n, err
		}
		if err := await(changed, wait, c.deadline(&c.readDeadline)); err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	written := 0
	for written < len(data) {
		n, changed, err := c.out.tryWrite(data[written:])
		written += n
		if err != nil {
			return written, err
		}
		if n > 0 {
			continue
		}
		if err := await(changed, 0, c.deadline(&c.writeDeadline)); err != nil {
			return written, err
		}
	}
	return written, nil
}

// await waits for a change, a span (0: none) or the deadline (zero: none).
func await(changed <-chan struct{}, span time.Duration, deadline time.Time) error {
	var arrived, expired <-chan time.Time
	if span > 0 {
		timer := time.NewTimer(span)
		defer timer.Stop()
		arrived = timer.C
	}
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-arrived:
		return nil
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

func (c *conn) deadline(which *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *which
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.out.close()
	c.in.fail(net.ErrClosed)
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	delete(c.network.conns, c)
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	c.setDeadline(&c.readDeadline, c.in, at)
	c.setDeadline(&c.writeDeadline, c.out, at)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.setDeadline(&c.readDeadline, c.in, at)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.setDeadline(&c.writeDeadline, c.out, at)
	return nil
}

func (c *conn) setDeadline(which *time.Time, p *pipe, at time.Time) {
	c.mu.Lock()
	*which = at
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}
