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

// process names this start of the agent, also when the settings fix the
// instance's name.
type process string

func newProcess(s settings.Settings) process {
	return process(s.Instance + "." + uuid.NewString()[:8])
}

func newGate(s settings.Settings, p process) *gate.Gate {
	return gate.New(s.Endpoint, string(p), clock.Now)
}

// endpoint is an engine with its control interface.
type endpoint struct {
	*engine.ControlClient
	*engine.Client
}

func newOrders(s settings.Settings, p process, network netx.Network, g *gate.Gate, st *status.Status, registry *meter.Registry) *orders.Duty {
	client := netx.HTTP1Client(network)
	return orders.New(orders.Parts{
		Name:     s.Endpoint,
		Instance: string(p),
		Endpoint: endpoint{engine.NewControlClient(s.EndpointURL, client), engine.NewClient(s.EndpointURL, client)},
		Gate:     g,
		Tables:   httpapi.New(s.PlatformURL, netx.HTTP1Client(network)),
		Clock:    clock.Now,
		Counter:  registry,
		Changed: func(state core.State) {
			if !state.Busy {
				st.SetModel(state.Model)
			}
		},
	})
}

// Revision returns the revision of the configuration up to which this agent
// knows all withdrawals.
func (a *Agent) Revision() int64 { return a.gate.Revision() }

// startOrders orders the endpoint until the returned function is called. Plain
// services take no orders.
func (a *Agent) startOrders() (stop func()) {
	if a.settings.EndpointKind != modelKind {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		a.orders.Run(ctx)
	}()
	return func() {
		cancel()
		running.Wait()
	}
}
