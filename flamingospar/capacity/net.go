package capacity

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"flamingospar.org/base/netx"
)

// countingNetwork is a TCP network that counts the bytes sent and received on
// dialled connections.
type countingNetwork struct {
	netx.TCP

	bytes *atomic.Int64
}

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

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// serveLoopback serves handler on a free loopback port and returns its address.
func serveLoopback(handler http.Handler) (address string, stop func(), err error) {
	listener, err := netx.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := netx.Server(handler)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { _ = server.Close() }, nil
}

const measuredCalls = 300

// bytesPerCall returns the average number of bytes that a call sends and receives
// on an open connection.
func bytesPerCall(counted *atomic.Int64, call func() error) (float64, error) {
	if err := call(); err != nil { // Opens the connection; not counted.
		return 0, err
	}
	before := counted.Load()
	for range measuredCalls {
		if err := call(); err != nil {
			return 0, err
		}
	}
	return float64(counted.Load()-before) / measuredCalls, nil
}
