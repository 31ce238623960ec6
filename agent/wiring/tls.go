package wiring

import (
	"net"
	"net/http"

	"flamingospar.org/agent/settings"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
)

// newTLS loads the certificate files. It returns nil when TLS is not configured.
func newTLS(s settings.Settings, registry *meter.Registry) (*tlsfiles.Source, error) {
	if !s.TLS.IsSet() {
		return nil, nil
	}
	return tlsfiles.Load(s.TLS, registry)
}

// serveConnections serves entries, over TLS when it is configured.
func (a *Agent) serveConnections(httpServer *http.Server, listener net.Listener) error {
	if a.tls == nil {
		return httpServer.Serve(listener)
	}
	return netx.ServeTLS(httpServer, listener, a.tls.Server(tlsfiles.EntryName))
}
