package link

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool holds the idle connections by address.
type Pool struct {
	dialer net.Dialer
	// Dialled is called for each new connection, if set.
	Dialled func()

	mu   sync.Mutex
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: make(map[string][]*conn)}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return p
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var result error
	err := raw.Control(func(fd uintptr) {
		result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, result)
}

func (p *Pool) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		idle := time.Since(c.idleFrom)
		if idle < c.maxIdle && (maxIdle == 0 || idle < maxIdle) && c.quiet() {
			return c, nil
		}
		c.Close()
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.Dialled != nil {
		p.Dialled()
	}
	in := &intake{source: raw}
	return &conn{Conn: raw, address: address, intake: in, reader: bufio.NewReaderSize(in, readBuffer)}, nil
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[address] = idle[:len(idle)-1]
	return c
}

func (p *Pool) put(c *conn) {
	c.idleFrom = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if len(idle) >= maxIdlePerEndpoint {
		c.Close()
		return
	}
	p.idle[c.address] = append(idle, c)
}

// Sweep closes the connections that were idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if time.Since(c.idleFrom) >= c.maxIdle {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		clear(idle[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Forget closes the idle connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// quiet reports whether nothing has come on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = rawConn.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && silent
}
