package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxyMode selects how a proxy treats its connections.
type proxyMode int

const (
	passThrough proxyMode = iota
	delay                 // Each read is forwarded after proxyDelay.
	silent                // Data is held until the mode changes; connections are accepted.
	oneWay                // Data from the server is dropped.
	reset                 // Existing and new connections are reset.
	refused               // New connections are reset; existing ones continue.
	proxyModeCount
)

const proxyDelay = 30 * time.Millisecond

func (m proxyMode) String() string {
	return [...]string{"pass", "delay", "silent", "one-way", "reset", "refused"}[m]
}

// proxy is a TCP proxy on loopback that injects network faults.
type proxy struct {
	address string
	target  string

	mu          sync.Mutex
	mode        proxyMode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: listener.Addr().String(), target: target, modeChanged: make(chan struct{}), conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		listener.Close()
		p.setMode(reset)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m != reset {
		return
	}
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // Close sends RST.
		conn.Close()
	}
}

func (p *proxy) currentMode() (proxyMode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

func (p *proxy) serve(client net.Conn) {
	if m, _ := p.currentMode(); m == reset || m == refused {
		_ = client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(server, client, false) })
	copies.Go(func() { p.copy(client, server, true) })
	copies.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

func (p *proxy) copy(dst, src net.Conn, fromServer bool) {
	defer dst.Close()
	defer src.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && p.waitToForward(fromServer) {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = dst.(*net.TCPConn).SetLinger(0) // Propagate a reset as a reset.
			}
			return
		}
	}
}

// waitToForward waits as long as the current mode requires and reports whether
// the data is to be forwarded.
func (p *proxy) waitToForward(fromServer bool) bool {
	for {
		m, changed := p.currentMode()
		switch {
		case m == delay:
			time.Sleep(proxyDelay)
			return true
		case m == oneWay && fromServer:
			return false
		case m == silent:
			<-changed
		default:
			return true
		}
	}
}
