package netx

import (
	"context"
	"net"
)

// Guarded returns a network whose connections call allow before each dial and
// write, and fail without writing if it returns an error. If the receiver closes
// idle connections after a known time, it thus receives no data that was allowed
// longer ago than that time.
func Guarded(network Network, allow func() error) Network {
	return guardedNetwork{Network: network, allow: allow}
}

type guardedNetwork struct {
	Network
	allow func() error
}

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

func (c guardedConn) Write(data []byte) (int, error) {
	if err := c.allow(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}
