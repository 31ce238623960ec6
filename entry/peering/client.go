// Package peering exchanges configuration between entries over gRPC: each entry
// sends the others its revision and the changes that it holds.
package peering

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// Client calls the other entries of a roster. It implements configview.Peers.
type Client struct {
	*fleet.Roster

	http *http.Client

	mu      sync.Mutex
	clients map[string]wirev1connect.ConfigServiceClient
}

// NewClient returns a client for the entries in roster.
func NewClient(roster *fleet.Roster, client *http.Client) *Client {
	return &Client{Roster: roster, http: client, clients: make(map[string]wirev1connect.ConfigServiceClient)}
}

// Exchange sends a request to the entry at address and returns its reply.
func (c *Client) Exchange(ctx context.Context, address string, request configview.ExchangeRequest) (configview.ExchangeReply, error) {
	message, err := encodeRequest(request)
	if err != nil {
		return configview.ExchangeReply{}, err
	}
	reply, err := c.clientFor(address).Exchange(ctx, connect.NewRequest(message))
	if err != nil {
		return configview.ExchangeReply{}, err
	}
	return decodeReply(reply.Msg)
}

func (c *Client) clientFor(address string) wirev1connect.ConfigServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = wirev1connect.NewConfigServiceClient(c.http, "http://"+address, connect.WithGRPC())
		c.clients[address] = client
	}
	return client
}

func encodeRequest(request configview.ExchangeRequest) (*wirev1.ExchangeRequest, error) {
	changes, err := encodeChanges(request.Changes)
	return &wirev1.ExchangeRequest{
		Instance:    request.Instance,
		Revision:    int64(request.Revision),
		Changes:     changes,
		OnlyCompare: request.OnlyCompare,
	}, err
}

func decodeReply(message *wirev1.ExchangeReply) (configview.ExchangeReply, error) {
	changes, err := decodeChanges(message.Changes)
	if err != nil {
		return configview.ExchangeReply{}, err
	}
	reply := configview.ExchangeReply{
		Instance:  message.Instance,
		Revision:  config.Revision(message.Revision),
		Proved:    message.Proved,
		Age:       time.Duration(message.EvidenceAgeNanos),
		Remembers: message.Remembers,
		Changes:   changes,
	}
	if len(message.Snapshot) > 0 {
		reply.Snapshot = new(config.Snapshot)
		err = json.Unmarshal(message.Snapshot, reply.Snapshot)
	}
	return reply, err
}

func encodeChanges(changes []config.Change) ([][]byte, error) {
	encoded := make([][]byte, len(changes))
	for i, change := range changes {
		data, err := json.Marshal(change)
		if err != nil {
			return nil, err
		}
		encoded[i] = data
	}
	return encoded, nil
}

func decodeChanges(encoded [][]byte) ([]config.Change, error) {
	changes := make([]config.Change, len(encoded))
	for i, data := range encoded {
		if err := json.Unmarshal(data, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}
