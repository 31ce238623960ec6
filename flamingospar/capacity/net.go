package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"flamingospar.org/base/netx"
)

// countingNetwork is TCP that counts what the dialling side sends and receives.
type countingNetwork struct {
	netx.TCP

	bytes *atomic.Int64
}

// DialContext implements netx.Network.
func (n countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.TCP.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: n.bytes}, nil
}

type countingConn struct {
	net.Conn

	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// serve serves handler on a free port of the loopback and returns its address.
func serve(handler http.Handler) (address string, stop func(), err error) {
	listener, err := netx.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := netx.Server(handler)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

const wireCalls = 300

// bytesOf returns the bytes that one call sends and receives.
func bytesOf(counted *atomic.Int64, call func() error) (float64, error) {
	if err := call(); err != nil { // Opens the connection.
		return 0, err
	}
	before := counted.Load()
	for range wireCalls {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(counted.Load()-before) / wireCalls, nil
}
