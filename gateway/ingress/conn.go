package ingress

import (
	"context"
	"net"
	"sync/atomic"
)

// Listener marks connections when they are closed. A server that stops closes
// idle connections, and the request that is on its way there is then still
// read: it must not be run, since its answer can't be sent.
type Listener struct{ net.Listener }

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &markedConn{Conn: conn}, nil
}

type markedConn struct {
	net.Conn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *markedConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext keeps a request's connection in its context, for http.Server.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connClosed reports whether this process has closed a request's connection.
func connClosed(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(*markedConn)
	return ok && conn.closed.Load()
}
