package wiring

import (
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/dispatch"
	"flamingospar.org/entry/explain"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/peering"
	"flamingospar.org/entry/settings"
	"flamingospar.org/platform/httpapi"
)

func newConfigView(s settings.Settings, c *httpapi.Client, peers peerNetwork, roster *fleet.Roster, registry *meter.Registry) *configview.View {
	return configview.New(c, configview.Options{
		Instance: s.Instance + "." + uuid.NewString()[:instanceSuffixLen],
		Peers:    peering.NewClient(roster, netx.HTTP2Client(peers)),
		Objects:  c.Objects(),
		Counter:  registry,
	})
}

func newFleet(s settings.Settings, plan *fleet.Plan, c *httpapi.Client, peers peerNetwork, roster *fleet.Roster, view *configview.View, usageInterceptor *account.Interceptor, explainInterceptor *explain.Interceptor) *fleet.View {
	membership := fleet.Membership{Instance: s.Instance, Roster: roster, Config: view, Targets: plan}
	client := dispatch.Client(func() *http.Transport { return netx.HTTP2Transport(peers) })
	return fleet.New(c, client, membership, connect.WithInterceptors(usageInterceptor, explainInterceptor))
}

// listenPeers opens the listener for other entries. It returns nil if no peer
// address is configured. Without a configured address to advertise, the entry
// advertises the address of the listener.
func (e *Entry) listenPeers() (net.Listener, error) {
	if e.Settings.Authority.PeerListen == "" {
		return nil, nil
	}
	listener, err := e.Network.Listen(e.Settings.Authority.PeerListen)
	if err != nil {
		return nil, err
	}
	if e.Settings.Authority.PeerAddress == "" {
		e.Roster.SetSelf(listener.Addr().String())
	}
	return listener, nil
}

// newPeerServer returns the server that answers other entries: peering and observe
// calls.
func (e *Entry) newPeerServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle(peering.NewServer(e.Config).Handler())
	mux.Handle(e.newObserveServer().Handler())
	return netx.Server(mux)
}
