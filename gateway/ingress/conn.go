package ingress

import (
	"context"
	"net"
	"sync/atomic"
)

// Listener tracks which connections this process has closed. A server that shuts
// down closes idle connections, but a request that is in flight on one may still be
// read. It must not be run, since its response cannot be sent.
type Listener struct{ net.Listener }

// Accept waits for a connection and tracks whether it is closed.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn}, nil
}

type trackedConn struct {
	net.Conn
	closed atomic.Bool
}

// Close records that this process closes the connection, and closes it.
func (c *trackedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests; it is set as
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connClosed reports whether this process has closed the connection of a request.
func connClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*trackedConn)
	return ok && conn.closed.Load()
}
