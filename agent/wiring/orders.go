package wiring

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"flamingospar.org/agent/gate"
	"flamingospar.org/agent/orders"
	"flamingospar.org/agent/settings"
	"flamingospar.org/agent/status"
	"flamingospar.org/base/clock"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	core "flamingospar.org/core/orders"
	"flamingospar.org/platform/engine"
	"flamingospar.org/platform/httpapi"
)

// processID is unique to each start of the agent, also when the settings fix the
// instance id.
type processID string

func newProcessID(s settings.Settings) processID {
	return processID(s.Instance + "." + uuid.NewString()[:8])
}

func newGate(s settings.Settings, p processID) *gate.Gate {
	return gate.New(s.Endpoint, string(p), clock.Now)
}

// endpoint combines the engine's control and data clients.
type endpoint struct {
	*engine.ControlClient
	*engine.Client
}

func newReconciler(s settings.Settings, p processID, network netx.Network, g *gate.Gate, st *status.Status, registry *meter.Registry) *orders.Reconciler {
	client := netx.HTTP1Client(network)
	return orders.New(orders.Dependencies{
		Name:     s.Endpoint,
		Instance: string(p),
		Endpoint: endpoint{engine.NewControlClient(s.EndpointURL, client), engine.NewClient(s.EndpointURL, client)},
		Gate:     g,
		Tables:   httpapi.New(s.PlatformURL, netx.HTTP1Client(network)),
		Clock:    clock.Now,
		Counter:  registry,
		OnState: func(state core.State) {
			if !state.Busy {
				st.SetModel(state.Model)
			}
		},
	})
}

// Revision returns the revision of the configuration up to which the agent knows
// all withdrawn keys.
func (a *Agent) Revision() int64 { return a.gate.Revision() }

// startReconciler sends orders to the endpoint until the returned function is
// called. Plain services take no orders.
func (a *Agent) startReconciler() (stop func()) {
	if a.settings.EndpointKind != modelKind {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		a.reconciler.Run(ctx)
	}()
	return func() {
		cancel()
		wg.Wait()
	}
}
