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

	"flamingospar.org/gateway/ingress"
	"flamingospar.org/platform/site"
)

// Limits of incoming connections.
const (
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is longer than any caller keeps an idle connection.
	idleTimeout    = 180 * time.Second
	maxHeaderBytes = 64 << 10
	// tcpUserTimeout is how long sent data may remain unacknowledged.
	tcpUserTimeout    = 8 * time.Second
	keepAliveInterval = 3 * time.Second
	keepAliveProbes   = 3
	// socketBufferBytes bounds what the kernel holds in each direction of a connection. Without
	// it the kernel grows the buffers of a connection that is not read to several megabytes.
	// Accepted connections inherit it from their listener.
	socketBufferBytes = 32 << 10
)

// listen opens a listener for callers, other VMs or the load balancer.
func listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var result error
			err := raw.Control(func(fd uintptr) {
				result = errors.Join(
					unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds())),
					unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes),
					unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes),
				)
			})
			return errors.Join(err, result)
		},
	}
	return config.Listen(ctx, "tcp", address)
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: ingress.ConnContext, ConnState: ingress.ConnState,
	}
}

// internalHandler serves readiness checks, metrics and exchanges with other
// entry processes. Bodies are read for the exchanges only.
func (n *Node) internalHandler() http.Handler {
	router := chi.NewRouter()
	router.Get(site.ReadyPath, n.serveReady)
	router.Get("/metrics", n.serveMetrics)
	path, exchange := n.cluster.Handler()
	router.Post(path+"*", ingress.InflateBodies(ingress.BoundBodies(exchange)).ServeHTTP)
	return ingress.BoundHeads(router)
}

// serveReady reports to the load balancer whether to send new connections to this
// process.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether this process can serve: it has a configuration, has read
// the fleet and the versions of its engines at least once, and is not stopping.
func (n *Node) ready() bool {
	return n.config.Current() != nil && n.fleet.Version() > 0 && n.versions.Ready() && !n.stopping.Load()
}
