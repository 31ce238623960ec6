package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sys/unix"

	"flamingospar.org/platform/site"
)

// Limits of callers' connections.
const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection.
	idleTimeout    = 180 * time.Second
	maxHeaderBytes = 64 << 10
	// callerUserTimeout is how long sent bytes may stay without acknowledgement.
	callerUserTimeout = 8 * time.Second
	callerKeepAlive   = 3 * time.Second
	callerProbes      = 3
)

// listen opens an address for callers, other VMs or the balancer.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAlive, Interval: callerKeepAlive, Count: callerProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var result error
			err := raw.Control(func(fd uintptr) {
				result = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(callerUserTimeout.Milliseconds()))
			})
			return errors.Join(err, result)
		},
	}
	return config.Listen(ctx, "tcp", address)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// sideHandler serves readiness, metrics and the other entry processes.
func (n *Node) sideHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(site.ReadyPath, n.serveReady)
	router.Get("/metrics", n.serveMetrics)
	path, exchange := n.circle.Handler()
	router.Handle(path+"*", exchange)
	return router
}

// serveReady tells the balancer whether to send new connections here.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether this process can serve: it knows a configuration and
// the endpoints, and is not stopping.
func (n *Node) ready() bool {
	return n.config.Current() != nil && n.fleet.Version() > 0 && !n.stopping.Load()
}
