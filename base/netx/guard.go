package netx

import (
	"context"
	"net"
)

// Guarded returns a network whose connections ask allow before each write and
// write nothing when it returns an error. A receiver that closes silent
// connections after a known time then sees nothing that was allowed longer ago.
func Guarded(network Network, allow func() error) Network {
	return guardedNetwork{Network: network, allow: allow}
}

type guardedNetwork struct {
	Network
	allow func() error
}

// DialContext implements Network.
func (g guardedNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if err := g.allow(); err != nil {
		return nil, err
	}
	conn, err := g.Network.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return guardedConn{Conn: conn, allow: g.allow}, nil
}

type guardedConn struct {
	net.Conn
	allow func() error
}

// Write implements net.Conn.
func (c guardedConn) Write(data []byte) (int, error) {
	if err := c.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
