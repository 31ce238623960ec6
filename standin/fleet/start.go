package fleet

import (
	"context"
	"net/http"
	"time"

	"flamingospar.org/base/netx"
	"flamingospar.org/standin/engine"
	"flamingospar.org/standin/engine/batch"
	"flamingospar.org/standin/plain"
	"flamingospar.org/standin/platform"
)

// After how long of silence the stand-ins close a connection.
const (
	platformIdle = 5 * time.Second
	endpointIdle = 90 * time.Second
)

// Started is a running fleet of stand-ins.
type Started struct {
	Platform    *platform.Platform
	PlatformURL string
	Endpoints   []StartedEndpoint
}

// StartedEndpoint is one running stand-in of an endpoint. Engine or Service is set.
type StartedEndpoint struct {
	Endpoint
	URL     string
	Engine  *engine.Engine
	Service *plain.Service
}

// Addresses names where the stand-ins listen.
type Addresses struct {
	Platform string
	// Endpoint returns the address of the endpoint with an index.
	Endpoint func(index int) string
}

// Start runs the platform and all endpoints until ctx ends.
func Start(ctx context.Context, network netx.Network, f Fleet, addresses Addresses) (*Started, error) {
	started := &Started{Platform: platform.New()}
	server, err := serve(ctx, network, addresses.Platform, started.Platform.Handler(), platformIdle)
	if err != nil {
		return nil, err
	}
	started.PlatformURL = server.url()
	for i, endpoint := range f.Endpoints {
		running, err := startEndpoint(ctx, network, endpoint, addresses.Endpoint(i))
		if err != nil {
			return nil, err
		}
		started.Endpoints = append(started.Endpoints, running)
	}
	return started, nil
}

func startEndpoint(ctx context.Context, network netx.Network, endpoint Endpoint, address string) (StartedEndpoint, error) {
	started := StartedEndpoint{Endpoint: endpoint}
	board := new(switchboard)
	var mux *http.ServeMux
	if endpoint.Kind == "model" {
		started.Engine = engine.New(endpoint.Model, batch.DefaultConfig())
		board.apply = engineFaults(started.Engine)
		mux = board.handler(started.Engine.Handler())
		go started.Engine.Run(ctx)
	} else {
		started.Service = plain.New(endpoint.Kind)
		board.apply = serviceFaults(started.Service)
		mux = board.handler(started.Service)
		mux.Handle("GET "+callsPath, showCalls(started.Service))
	}
	server, err := serve(ctx, network, address, mux, endpointIdle)
	if err != nil {
		return StartedEndpoint{}, err
	}
	board.mu.Lock()
	board.server = server
	board.mu.Unlock()
	started.URL = server.url()
	return started, nil
}
