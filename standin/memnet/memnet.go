// Package memnet is an in-memory network for tests on virtual time. Hosts are
// the host parts of addresses. Pairs of hosts can be partitioned (connections
// break and new ones fail) and open connections can be silenced (bytes vanish
// while new connections work).
package memnet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// ErrUnreachable is the cause of a failed dial.
var ErrUnreachable = errors.New("memnet: unreachable")

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	latency   time.Duration
	listeners map[string]*listener
	conns     map[*conn]struct{}
	cut       map[[2]string]bool
}

// New returns a network whose one-way delay is latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:   latency,
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]struct{}),
		cut:       make(map[[2]string]bool),
	}
}

// Host returns the network as seen from one host. It implements netx.Network.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Partition cuts the two hosts off from each other, or joins them again.
func (n *Network) Partition(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pair(a, b)] = cut
	if !cut {
		return
	}
	for c := range n.conns {
		if pair(c.local, c.remote) == pair(a, b) {
			c.fail(ErrUnreachable)
		}
	}
}

// Silence makes the connections that are open now between two hosts swallow all
// bytes in both directions. Later connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if pair(c.local, c.remote) == pair(a, b) {
			c.silence()
		}
	}
}

// Kill breaks all connections and listeners of a host.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, l := range n.listeners {
		if hostOf(address) == host {
			l.closeOnce()
			delete(n.listeners, address)
		}
	}
	for c := range n.conns {
		if c.local == host || c.remote == host {
			c.fail(ErrUnreachable)
		}
	}
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// SilenceOneWay makes the connections that are open now between two hosts
// swallow the bytes that from sends to to; the other direction still works.
func (n *Network) SilenceOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local == from && c.remote == to {
			c.out.silence()
		}
	}
}

// Listen implements netx.Network.
func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, fmt.Errorf("memnet: address %s in use", address)
	}
	if h.dead {
		return nil, net.ErrClosed
	}
	l := &listener{network: n, host: h, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext implements netx.Network.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	h.awaitResume()
	n.mu.Lock()
	l := n.listeners[address]
	cut := h.dead || n.cut[pair(h.name, hostOf(address))]
	n.mu.Unlock()
	if cut {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: fmt.Errorf("%w: %s", ErrUnreachable, address)}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: fmt.Errorf("%w: %s", syscall.ECONNREFUSED, address)}
	}
	near, far := n.connect(h, l.host)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		near.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ErrUnreachable}
	case <-ctx.Done():
		near.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
}

func (n *Network) connect(local, remote *Host) (*conn, *conn) {
	there, back := newPipe(n.latency, local, remote), newPipe(n.latency, remote, local)
	near := &conn{network: n, host: local, local: local.name, remote: remote.name, in: back, out: there}
	far := &conn{network: n, host: remote, local: remote.name, remote: local.name, in: there, out: back}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near] = struct{}{}
	n.conns[far] = struct{}{}
	return near, far
}

type listener struct {
	network *Network
	host    *Host
	address string
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	l.closeOnce()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

func (l *listener) closeOnce() { l.once.Do(func() { close(l.done) }) }

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (addr) Network() string  { return "mem" }
func (a addr) String() string { return string(a) }
