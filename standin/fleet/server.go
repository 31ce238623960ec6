package fleet

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"flamingospar.org/base/netx"
)

// restartableServer is an HTTP server that can simulate a crash: it closes its
// connections, refuses new ones and starts again at the same address after a
// downtime.
type restartableServer struct {
	network     netx.Network
	handler     http.Handler
	idleTimeout time.Duration

	mu      sync.Mutex
	address string
	server  *http.Server
	stopped bool
}

// serve starts a server at address. It runs until ctx ends.
func serve(ctx context.Context, network netx.Network, address string, handler http.Handler, idleTimeout time.Duration) (*restartableServer, error) {
	s := &restartableServer{network: network, handler: handler, idleTimeout: idleTimeout, address: address}
	if err := s.start(); err != nil {
		return nil, fmt.Errorf("stand-in at %s: %w; remedy: free the port or choose another", address, err)
	}
	context.AfterFunc(ctx, s.stop)
	return s, nil
}

func (s *restartableServer) url() string { return "http://" + s.address }

func (s *restartableServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return nil
	}
	listener, err := s.network.Listen(s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	server := netx.Server(s.handler)
	server.IdleTimeout = s.idleTimeout
	s.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash closes the listener and all connections, and starts the server again after
// downtime.
func (s *restartableServer) crash(downtime time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.server.Close()
	time.AfterFunc(downtime, func() { _ = s.start() })
}

func (s *restartableServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	_ = s.server.Close()
}
