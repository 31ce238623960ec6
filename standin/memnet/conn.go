package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// pipeBufferBytes is the buffer size of one direction of a connection. Like a
// socket buffer, it blocks the writer when it is full.
const pipeBufferBytes = 64 << 10

// segment is the data of one write, in transit or not yet read.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// pipe is one direction of a connection.
type pipe struct {
	mu            sync.Mutex
	latency       time.Duration
	hosts         [2]*Host
	segments      []segment
	bufferedBytes int
	blackholed    bool
	closed        bool  // By the writer; the reader gets io.EOF after the buffered data.
	failure       error // Set by a fault or a closed reader; ends reads and writes at once.
	changed       chan struct{}
}

func newPipe(latency time.Duration, from, to *Host) *pipe {
	return &pipe{latency: latency, hosts: [2]*Host{from, to}, changed: make(chan struct{})}
}

func (p *pipe) paused() bool { return p.hosts[0].paused() || p.hosts[1].paused() }

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
	if p.failure == nil {
		p.failure = err
	}
	p.notify()
}

// blackhole drops the buffered data and all later writes.
func (p *pipe) blackhole() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = true
	p.segments = nil
	p.bufferedBytes = 0
	p.notify()
}

func (p *pipe) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.notify()
}

// tryWrite buffers as much of data as fits and returns the number of bytes taken.
// If the buffer is full, it returns a channel that is closed at the next change.
// A paused host does not block writers (see Host.Pause).
func (p *pipe) tryWrite(data []byte) (int, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil {
		return 0, nil, p.failure
	}
	if p.closed {
		return 0, nil, io.ErrClosedPipe
	}
	if p.blackholed {
		return len(data), nil, nil
	}
	room := pipeBufferBytes - p.bufferedBytes
	if p.paused() {
		room = len(data)
	}
	if room <= 0 {
		return 0, p.changed, nil
	}
	if len(data) > room {
		data = data[:room]
	}
	p.segments = append(p.segments, segment{data: append([]byte(nil), data...), arrivesAt: time.Now().Add(p.latency)})
	p.bufferedBytes += len(data)
	p.notify()
	return len(data), nil, nil
}

// tryRead copies data that has arrived. If there is none, it returns a channel that
// is closed at the next change and, if data is in transit, the time until it
// arrives.
func (p *pipe) tryRead(buffer []byte) (int, <-chan struct{}, time.Duration, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failure != nil {
		return 0, nil, 0, p.failure
	}
	if p.paused() {
		return 0, p.changed, 0, nil
	}
	if len(p.segments) == 0 {
		if p.closed && !p.blackholed {
			return 0, nil, 0, io.EOF
		}
		return 0, p.changed, 0, nil
	}
	first := &p.segments[0]
	if delay := time.Until(first.arrivesAt); delay > 0 {
		return 0, p.changed, delay, nil
	}
	n := copy(buffer, first.data)
	first.data = first.data[n:]
	p.bufferedBytes -= n
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.notify()
	return n, nil, 0, nil
}

// conn is one end of a connection.
type conn struct {
	network *Network
	host    *Host // The host at this end.
	local   string
	remote  string
	in      *pipe
	out     *pipe

	mu            sync.Mutex
	readDeadline  time.Time
	writeDeadline time.Time
}

// fail breaks both directions. The caller holds network.mu.
func (c *conn) fail(err error) {
	c.in.fail(err)
	c.out.fail(err)
	delete(c.network.conns, c)
}

func (c *conn) blackhole() {
	c.in.blackhole()
	c.out.blackhole()
}

func (c *conn) Read(buffer []byte) (int, error) {
	for {
		n, changed, delay, err := c.in.tryRead(buffer)
		if n > 0 || err != nil || len(buffer) == 0 {
			return n, err
		}
		if err := waitForChange(changed, delay, c.deadline(&c.readDeadline)); err != nil {
			return 0, err
		}
	}
}

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
		if err := waitForChange(changed, 0, c.deadline(&c.writeDeadline)); err != nil {
			return written, err
		}
	}
	return written, nil
}

// waitForChange returns when changed is closed or after delay, and fails at the
// deadline. A zero delay or deadline means none.
func waitForChange(changed <-chan struct{}, delay time.Duration, deadline time.Time) error {
	var arrived, expired <-chan time.Time
	if delay > 0 {
		timer := time.NewTimer(delay)
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

func (c *conn) deadline(field *time.Time) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return *field
}

// Close implements net.Conn. The remote end can still read the data sent before.
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

func (c *conn) SetDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, c.in, t)
	c.setDeadline(&c.writeDeadline, c.out, t)
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.setDeadline(&c.readDeadline, c.in, t)
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.setDeadline(&c.writeDeadline, c.out, t)
	return nil
}

func (c *conn) setDeadline(field *time.Time, p *pipe, t time.Time) {
	c.mu.Lock()
	*field = t
	c.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notify()
}
