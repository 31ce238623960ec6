package wiring

import (
	"crypto/tls"
	"net"
	"net/http"

	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/entry/credentials"
	"flamingospar.org/entry/operator"
	"flamingospar.org/entry/settings"
)

// peerNetwork is the network for connections to agents and other entries. It uses
// TLS if certificate files are configured.
type peerNetwork struct {
	netx.Network
}

// newTLSSource loads the certificate files. It returns nil if none are configured.
func newTLSSource(s settings.Settings, registry *meter.Registry) (*tlsfiles.Source, error) {
	if !s.TLS.IsSet() {
		return nil, nil
	}
	return tlsfiles.Load(s.TLS, registry)
}

func newPeerNetwork(network netx.Network, source *tlsfiles.Source) peerNetwork {
	if source == nil {
		return peerNetwork{Network: network}
	}
	config := func() *tls.Config { return source.Client(tlsfiles.AgentName, tlsfiles.EntryName) }
	return peerNetwork{Network: netx.WithTLS(network, config)}
}

// newOperatorAccess loads the access rules of the operators' API.
func newOperatorAccess(s settings.Settings, registry *meter.Registry) (operator.Access, error) {
	if s.Operators.Open {
		return operator.OpenAccess{}, nil
	}
	return credentials.Load(s.Operators.File, registry)
}

// servePeers serves connections from other processes, over TLS if certificate files
// are configured.
func (e *Entry) servePeers(server *http.Server, listener net.Listener) error {
	if e.TLS == nil {
		return server.Serve(listener)
	}
	return netx.ServeTLS(server, listener, e.TLS.Server(tlsfiles.EntryName, tlsfiles.AgentName))
}
