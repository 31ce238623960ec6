// Package netx is the port through which every process opens and accepts
// connections. Production code uses the operating system's TCP stack; tests
// pass an in-memory network that can cut, silence and partition.
package netx

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits on opening and keeping connections between processes.
const (
	dialTimeout         = 2 * time.Second
	keepAliveIdle       = 5 * time.Second
	keepAliveInterval   = 2 * time.Second
	keepAliveProbes     = 3
	idleConnTimeout     = 60 * time.Second
	maxIdlePerHost      = 64
	http2PingIdle       = 2 * time.Second
	http2PingTimeout    = 2 * time.Second
	readHeaderTimeout   = 5 * time.Second
	serverIdleTimeout   = 90 * time.Second
	http2WriteByteLimit = 5 * time.Second
	// http2StreamBuffer bounds what one slow receiver holds, in bytes.
	http2StreamBuffer = 256 << 10
)

// Network opens and accepts stream connections.
type Network interface {
	// Listen accepts connections at address, in host:port form.
	Listen(address string) (net.Listener, error)
	// DialContext connects to address; it has the shape that http.Transport wants.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// keepAlive finds dead peers of connections without traffic.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveProbes,
}

// TCP is the operating system's network.
type TCP struct{}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: limitUnacked}
	return config.Listen(context.Background(), "tcp", address)
}

// DialContext implements Network. Dead peers are found by TCP keep-alive.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacked}
	return dialer.DialContext(ctx, network, address)
}

// HTTP1Client returns a client for HTTP/1.1 peers: the platform and endpoints.
// It follows no redirects and sets no overall timeout; callers pass contexts.
func HTTP1Client(network Network) *http.Client {
	transport := &http.Transport{
		DialContext:         network.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// FreshClient returns a client for HTTP/1.1 peers that opens a connection for
// each call, so that its transport never sends a call twice.
func FreshClient(network Network) *http.Client {
	transport := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// HTTP2Client returns a client for our own processes, which speak HTTP/2 with
// prior knowledge. A connection that answers no ping is closed.
func HTTP2Client(network Network) *http.Client {
	return &http.Client{Transport: HTTP2Transport(network), CheckRedirect: noRedirect}
}

// HTTP2Transport returns the transport of an HTTP2Client.
func HTTP2Transport(network Network) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        network.DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           http2PingIdle,
			PingTimeout:               http2PingTimeout,
			WriteByteTimeout:          http2WriteByteLimit,
			MaxReceiveBufferPerStream: http2StreamBuffer,
		},
	}
}

// Server returns an HTTP server that speaks HTTP/1.1 and HTTP/2 with prior knowledge.
func Server(handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ErrorLog:          errorLog(),
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  http2PingIdle,
			PingTimeout:      http2PingTimeout,
			WriteByteTimeout: http2WriteByteLimit,
		},
	}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
