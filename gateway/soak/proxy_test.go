package soak_test

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// mode is what a proxy does with the bytes of its connections.
type mode int

const (
	pass    mode = iota
	delay        // Each piece waits for delayTime.
	silent       // Bytes wait until the mode ends; connections are accepted.
	oneWay       // Bytes from the far side are dropped.
	reset        // Connections are reset, new ones too.
	refused      // New connections are closed at once; old ones go on.
	modes
)

const delayTime = 30 * time.Millisecond

func (m mode) String() string {
	return [...]string{"pass", "delay", "silent", "one-way", "reset", "refused"}[m]
}

// proxy stands between two sides on loopback.
type proxy struct {
	address string
	target  string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{address: listener.Addr().String(), target: target, changed: make(chan struct{}), conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		listener.Close()
		p.set(reset)
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

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != reset {
		return
	}
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // Closing resets.
		conn.Close()
	}
}

func (p *proxy) now() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

func (p *proxy) serve(near net.Conn) {
	if m, _ := p.now(); m == reset || m == refused {
		_ = near.(*net.TCPConn).SetLinger(0)
		near.Close()
		return
	}
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, false) })
	both.Go(func() { p.copy(near, far, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, back bool) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.let(back) {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0) // A reset stays one.
			}
			return
		}
	}
}

// let waits until bytes may go on and reports whether they do.
func (p *proxy) let(back bool) bool {
	for {
		m, changed := p.now()
		switch {
		case m == delay:
			time.Sleep(delayTime)
			return true
		case m == oneWay && back:
			return false
		case m == silent:
			<-changed
		default:
			return true
		}
	}
}
