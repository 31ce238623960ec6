package netx

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// secured is a network whose connections are TLS ones.
type secured struct {
	Network
	config func() *tls.Config
}

// Secured returns a network that opens TLS connections. config is called for
// each new one, so that changed certificates come into force.
func Secured(network Network, config func() *tls.Config) Network {
	return secured{Network: network, config: config}
}

// DialContext implements Network. A failed handshake counts as a failed dial:
// nothing was sent.
func (s secured) DialContext(ctx context.Context, name, address string) (net.Conn, error) {
	raw, err := s.Network.DialContext(ctx, name, address)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, s.config())
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, &net.OpError{Op: "dial", Net: name, Err: err}
	}
	return conn, nil
}

// ServeTLS serves handler over TLS on listener until the server is closed.
func ServeTLS(server *http.Server, listener net.Listener, config *tls.Config) error {
	server.Protocols.SetHTTP2(true)
	return server.Serve(tls.NewListener(listener, config))
}
