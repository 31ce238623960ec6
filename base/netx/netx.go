// Package netx abstracts the network over which the processes open and accept
// connections. Production code uses the operating system's TCP stack; tests use
// an in-memory network that can simulate broken and silent connections and
// partitions.
package netx

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Timeouts and limits of connections.
const (
	dialTimeout           = 2 * time.Second
	keepAliveIdle         = 5 * time.Second
	keepAliveInterval     = 2 * time.Second
	keepAliveProbes       = 3
	idleConnTimeout       = 60 * time.Second
	maxIdleConnsPerHost   = 64
	http2SendPingTimeout  = 2 * time.Second
	http2PingTimeout      = 2 * time.Second
	readHeaderTimeout     = 5 * time.Second
	serverIdleTimeout     = 90 * time.Second
	http2WriteByteTimeout = 5 * time.Second
	// http2StreamBufferBytes limits the data that is buffered for one slow client.
	http2StreamBufferBytes = 256 << 10
)

// Network opens and accepts stream connections.
type Network interface {
	// Listen accepts connections at address, in host:port form.
	Listen(address string) (net.Listener, error)
	// DialContext connects to address. Its signature is that of
	// http.Transport.DialContext.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// keepAlive detects dead peers on idle connections.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     keepAliveIdle,
	Interval: keepAliveInterval,
	Count:    keepAliveProbes,
}

// TCP is the operating system's network.
type TCP struct{}

func (TCP) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(context.Background(), "tcp", address)
}

// DialContext opens a TCP connection. Dead peers are detected by TCP keep-alive.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return dialer.DialContext(ctx, network, address)
}

// HTTP1Client returns a client for HTTP/1.1 peers: the platform and endpoints.
// It doesn't follow redirects and has no overall timeout; callers limit the time
// of a call through its context.
func HTTP1Client(network Network) *http.Client {
	transport := &http.Transport{
		DialContext:         network.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// UnpooledHTTP1Client returns a client for HTTP/1.1 peers that opens a new
// connection for each request, so that its transport never sends a request twice.
func UnpooledHTTP1Client(network Network) *http.Client {
	transport := &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &http.Client{Transport: transport, CheckRedirect: noRedirect}
}

// HTTP2Client returns a client for HTTP/2 with prior knowledge, which the
// processes use among themselves. A connection whose pings are not answered is
// closed.
func HTTP2Client(network Network) *http.Client {
	return &http.Client{Transport: HTTP2Transport(network), CheckRedirect: noRedirect}
}

// HTTP2Transport returns the transport that HTTP2Client uses.
func HTTP2Transport(network Network) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:        network.DialContext,
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           http2SendPingTimeout,
			PingTimeout:               http2PingTimeout,
			WriteByteTimeout:          http2WriteByteTimeout,
			MaxReceiveBufferPerStream: http2StreamBufferBytes,
		},
	}
}

// Server returns a server for HTTP/1.1 and HTTP/2 with prior knowledge.
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
			SendPingTimeout:  http2SendPingTimeout,
			PingTimeout:      http2PingTimeout,
			WriteByteTimeout: http2WriteByteTimeout,
		},
	}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}
