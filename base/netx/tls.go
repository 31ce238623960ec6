package netx

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// HTTP2TLSClient returns a client like HTTP2Client that speaks TLS also to URLs
// that say http. config is called for each new connection, so that changed
// certificates come into force.
func HTTP2TLSClient(network Network, config func() *tls.Config) *http.Client {
	client := HTTP2Client(network)
	transport := client.Transport.(*http.Transport)
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP2(true)
	transport.DialTLSContext = func(ctx context.Context, name, address string) (net.Conn, error) {
		raw, err := network.DialContext(ctx, name, address)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, config())
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, &net.OpError{Op: "dial", Net: name, Err: err}
		}
		return conn, nil
	}
	client.Transport = tlsAlways{inner: transport}
	return client
}

// tlsAlways turns http URLs into https ones.
type tlsAlways struct{ inner *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t tlsAlways) RoundTrip(request *http.Request) (*http.Response, error) {
	secured := request.Clone(request.Context())
	secured.URL.Scheme = "https"
	return t.inner.RoundTrip(secured)
}

// CloseIdleConnections lets http.Client.CloseIdleConnections work.
func (t tlsAlways) CloseIdleConnections() { t.inner.CloseIdleConnections() }

// ServeTLS serves handler over TLS on listener until the server is closed.
func ServeTLS(server *http.Server, listener net.Listener, config *tls.Config) error {
	server.Protocols.SetHTTP2(true)
	return server.Serve(tls.NewListener(listener, config))
}
