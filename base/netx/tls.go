package netx

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

type tlsNetwork struct {
	Network
	config func() *tls.Config
}

// WithTLS returns a network whose outgoing connections use TLS. config is called
// for each connection, so that reloaded certificates take effect.
func WithTLS(network Network, config func() *tls.Config) Network {
	return tlsNetwork{Network: network, config: config}
}

// DialContext returns a failed handshake as a dial error, since no application
// data has been sent.
func (s tlsNetwork) DialContext(ctx context.Context, name, address string) (net.Conn, error) {
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
