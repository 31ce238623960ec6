package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"flamingospar.org/base/netx"
)

// crashable serves a stand-in that can crash: its connections break, its
// address takes no new ones, and after a while it is back.
type crashable struct {
	network netx.Network
	handler http.Handler
	idle    time.Duration

	mu      sync.Mutex
	address string
	server  *http.Server
	ended   bool
}

// serve starts a stand-in at address until ctx ends.
func serve(ctx context.Context, network netx.Network, address string, handler http.Handler, idle time.Duration) (*crashable, error) {
	c := &crashable{network: network, handler: handler, idle: idle, address: address}
	if err := c.start(); err != nil {
		return nil, fmt.Errorf("stand-in at %s: %w; remedy: free the port or choose another", address, err)
	}
	context.AfterFunc(ctx, c.end)
	return c, nil
}

func (c *crashable) url() string { return "http://" + c.address }

func (c *crashable) start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	listener, err := c.network.Listen(c.address)
	if err != nil {
		return err
	}
	c.address = listener.Addr().String()
	server := netx.Server(c.handler)
	server.IdleTimeout = c.idle
	c.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash breaks all connections; the stand-in is back after downFor.
func (c *crashable) crash(downFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.server.Close()
	time.AfterFunc(downFor, func() { _ = c.start() })
}

func (c *crashable) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	_ = c.server.Close()
}
