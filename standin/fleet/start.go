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

// Times after which the stand-ins close an idle connection.
const (
	platformIdleTimeout = 5 * time.Second
	endpointIdleTimeout = 90 * time.Second
)

// RunningFleet is a running fleet of stand-ins.
type RunningFleet struct {
	Platform    *platform.Platform
	PlatformURL string
	Endpoints   []RunningEndpoint
}

// RunningEndpoint is a running stand-in for an endpoint. Either Engine or Service
// is set.
type RunningEndpoint struct {
	Endpoint
	URL     string
	Engine  *engine.Engine
	Service *plain.Service
}

// Addresses are the addresses at which the stand-ins listen.
type Addresses struct {
	Platform string
	// Endpoint returns the address of the endpoint at index in Fleet.Endpoints.
	Endpoint func(index int) string
}

// Start starts the platform and all endpoints. They run until ctx ends.
func Start(ctx context.Context, network netx.Network, f Fleet, addresses Addresses) (*RunningFleet, error) {
	started := &RunningFleet{Platform: platform.New()}
	server, err := serve(ctx, network, addresses.Platform, started.Platform.Handler(), platformIdleTimeout)
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

func startEndpoint(ctx context.Context, network netx.Network, endpoint Endpoint, address string) (RunningEndpoint, error) {
	started := RunningEndpoint{Endpoint: endpoint}
	faults := new(faultController)
	var mux *http.ServeMux
	if endpoint.Kind == "model" {
		started.Engine = engine.New(endpoint.Model, batch.DefaultConfig())
		faults.apply = engineFaultSetter(started.Engine)
		mux = faults.handler(started.Engine.Handler())
		go started.Engine.Run(ctx)
	} else {
		started.Service = plain.New(endpoint.Kind)
		faults.apply = serviceFaultSetter(started.Service)
		mux = faults.handler(started.Service)
		mux.Handle("GET "+callsPath, serveCallCounts(started.Service))
	}
	server, err := serve(ctx, network, address, mux, endpointIdleTimeout)
	if err != nil {
		return RunningEndpoint{}, err
	}
	faults.mu.Lock()
	faults.server = server
	faults.mu.Unlock()
	started.URL = server.url()
	return started, nil
}
