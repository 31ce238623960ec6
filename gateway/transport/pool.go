package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool is a pool of connections to endpoints. It holds idle connections by address.
type Pool struct {
	// Dial opens connections; NewPool sets it to open TCP connections.
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	dialer net.Dialer
	// OnDial, if set, is called for each new connection.
	OnDial func()
	// OnStray, if set, is called for each connection on which a response came that can't be
	// told to be that to the request. The connection is not used again.
	OnStray func()
	// OnAsked and OnUnanswered, if set, are called for each endpoint that is asked for its start, and
	// for each that does not answer.
	OnAsked, OnUnanswered func()

	mu          sync.Mutex
	idle        map[string][]*conn
	unanswering map[string]time.Time // Until when endpoints are not asked for their start, by address.
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	p := &Pool{idle: make(map[string][]*conn), unanswering: make(map[string]time.Time)}
	p.dialer = net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	p.Dial = p.dialer.DialContext
	return p
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, optErr)
}

// get returns an idle connection that can be reused for a request, or a new one.
func (p *Pool) get(ctx context.Context, address string, request Request) (*conn, error) {
	for {
		c := p.popIdle(address, request)
		if c == nil {
			break
		}
		idle := time.Since(c.idleSince)
		if idle < c.maxIdle && (request.MaxIdle == 0 || idle < request.MaxIdle) && c.hasNoInput() {
			return c, nil
		}
		c.Close()
	}
	return p.dialFor(ctx, address, request)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	limited := &limitedReader{reader: raw}
	return &conn{Conn: raw, address: address, limited: limited, reader: bufio.NewReaderSize(limited, readBufferBytes)}, nil
}

// popIdle takes the idle connection that was used last and has not carried a request with
// the same ID: a response that bears the ID might be that to the earlier request. A request with a
// question takes one on which it was answered, unless the endpoint does not answer it.
func (p *Pool) popIdle(address string, request Request) *conn {
	usable := func(c *conn) bool { return !c.carried.has(request.ID) }
	if request.Start == nil {
		return p.popLast(address, usable)
	}
	c := p.popLast(address, func(c *conn) bool { return usable(c) && c.asked })
	if c == nil && p.isUnanswering(address) {
		c = p.popLast(address, usable)
	}
	return c
}

// popLast takes the idle connection that was used last among those that fit, or returns nil.
func (p *Pool) popLast(address string, fits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[address]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; fits(c) {
			p.idle[address] = slices.Delete(idle, i, i+1)
			return c
		}
	}
	return nil
}

// putIdle keeps an idle connection, unless there are enough to its address: limit, if it
// is not 0, or maxIdlePerEndpoint.
func (p *Pool) putIdle(c *conn, limit int) {
	if limit <= 0 || limit > maxIdlePerEndpoint {
		limit = maxIdlePerEndpoint
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[c.address]
	if len(idle) >= limit {
		c.Close()
		return
	}
	p.idle[c.address] = append(idle, c)
}

// CloseExpired closes the connections whose idle time exceeds their limit.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if time.Since(c.idleSince) >= c.maxIdle {
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

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

// hasNoInput reports whether an idle connection has nothing to read: it has not
// been closed, and no bytes have arrived that belong to no request.
func (c *conn) hasNoInput() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = rawConn.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}
