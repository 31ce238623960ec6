// Package memnet is an in-memory network for tests in virtual time. A host is
// identified by the host part of its addresses. Faults can be injected between two
// hosts: a partition breaks their connections and makes dials fail; a blackhole
// drops all data on the open connections while new connections work.
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

// ErrUnreachable is the error of a dial to a host that can't be reached, and of a
// connection that a partition or a kill has broken.
var ErrUnreachable = errors.New("memnet: host unreachable")

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	mu          sync.Mutex
	latency     time.Duration
	listeners   map[string]*listener
	conns       map[*conn]struct{}
	partitioned map[[2]string]bool
}

// New returns a network whose one-way delay is latency.
func New(latency time.Duration) *Network {
	return &Network{
		latency:     latency,
		listeners:   make(map[string]*listener),
		conns:       make(map[*conn]struct{}),
		partitioned: make(map[[2]string]bool),
	}
}

// Host returns the network as seen by a new process on a host. The result
// implements netx.Network.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Partition starts or ends a partition between two hosts. Its start breaks the
// open connections between them.
func (n *Network) Partition(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[hostPair(a, b)] = partitioned
	if !partitioned {
		return
	}
	for c := range n.conns {
		if hostPair(c.local, c.remote) == hostPair(a, b) {
			c.fail(ErrUnreachable)
		}
	}
}

// Blackhole makes the open connections between two hosts drop all data in both
// directions. Connections opened later are not affected.
func (n *Network) Blackhole(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if hostPair(c.local, c.remote) == hostPair(a, b) {
			c.blackhole()
		}
	}
}

// Kill breaks all connections and listeners of a host, whichever process has
// opened them.
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

// hostPair returns the two names in a fixed order, as a map key.
func hostPair(a, b string) [2]string {
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

// BlackholeOneWay makes the open connections between two hosts drop the data that
// from sends to the host to. The other direction still works.
func (n *Network) BlackholeOneWay(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local == from && c.remote == to {
			c.out.blackhole()
		}
	}
}

func (h *Host) Listen(address string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, taken := n.listeners[address]; taken {
		return nil, fmt.Errorf("memnet: address %s is already in use", address)
	}
	if h.killed {
		return nil, net.ErrClosed
	}
	l := &listener{network: n, host: h, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext waits while the host is paused. It ignores the network argument.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n := h.network
	h.waitForResume()
	n.mu.Lock()
	l := n.listeners[address]
	unreachable := h.killed || n.partitioned[hostPair(h.name, hostOf(address))]
	n.mu.Unlock()
	if unreachable {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: fmt.Errorf("%w: %s", ErrUnreachable, address)}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: fmt.Errorf("%w: %s", syscall.ECONNREFUSED, address)}
	}
	localConn, remoteConn := n.connect(h, l.host)
	select {
	case l.accept <- remoteConn:
		return localConn, nil
	case <-l.done:
		localConn.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ErrUnreachable}
	case <-ctx.Done():
		localConn.Close()
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: ctx.Err()}
	}
}

// connect returns the local and the remote end of a new connection.
func (n *Network) connect(local, remote *Host) (*conn, *conn) {
	outbound, inbound := newPipe(n.latency, local, remote), newPipe(n.latency, remote, local)
	localConn := &conn{network: n, host: local, local: local.name, remote: remote.name, in: inbound, out: outbound}
	remoteConn := &conn{network: n, host: remote, local: remote.name, remote: local.name, in: outbound, out: inbound}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[localConn] = struct{}{}
	n.conns[remoteConn] = struct{}{}
	return localConn, remoteConn
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
