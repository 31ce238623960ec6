package observe

import (
	"net/http"

	"connectrpc.com/connect"

	"flamingospar.org/entry/fleet"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Peers lists the other entries of a roster with clients for them.
type Peers struct {
	roster *fleet.Roster
	http   *http.Client
}

// NewPeers returns the other entries of roster. They are called through client.
func NewPeers(roster *fleet.Roster, client *http.Client) *Peers {
	return &Peers{roster: roster, http: client}
}

// All returns the other entries that the roster lists now.
func (p *Peers) All() []Peer {
	var peers []Peer
	for _, address := range p.roster.Others() {
		client := wirev1connect.NewObserveServiceClient(p.http, "http://"+address, connect.WithGRPC())
		peers = append(peers, Peer{Address: address, Client: client})
	}
	return peers
}
