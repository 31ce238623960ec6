// Package status holds the state of the agent and its endpoint that entries poll.
package status

import (
	"sync/atomic"

	"flamingospar.org/core/admit"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Queue reports the load of the endpoint.
type Queue interface {
	Load() admit.Load
}

// Identity is the part of the status that does not change while the agent runs.
type Identity struct {
	Endpoint   string
	DataCentre string
	Instance   string
	Kind       string // "model" or the service's name.
}

// Status is the agent's current state. It is safe for concurrent use.
type Status struct {
	identity Identity
	queue    Queue
	model    atomic.Value // string
	draining atomic.Bool
	down     atomic.Bool
}

// New returns the status of an agent whose endpoint has model loaded.
func New(identity Identity, queue Queue, model string) *Status {
	s := &Status{identity: identity, queue: queue}
	s.model.Store(model)
	return s
}

// SetModel sets the model that the endpoint has loaded.
func (s *Status) SetModel(model string) { s.model.Store(model) }

// SetDraining marks the endpoint as draining: it accepts no new runs.
func (s *Status) SetDraining() { s.draining.Store(true) }

// Draining reports whether the endpoint is draining.
func (s *Status) Draining() bool { return s.draining.Load() }

// SetDown sets whether the endpoint refuses connections.
func (s *Status) SetDown(down bool) { s.down.Store(down) }

// Down reports whether the endpoint refuses connections.
func (s *Status) Down() bool { return s.down.Load() }

// Instance returns the id of this agent process.
func (s *Status) Instance() string { return s.identity.Instance }

// Load returns the load that is sent along with responses.
func (s *Status) Load() *wirev1.Load {
	load := s.queue.Load()
	return &wirev1.Load{
		Running:       int32(load.Running),
		Queued:        int32(load.Waiting),
		Model:         s.model.Load().(string),
		Leaving:       s.draining.Load(),
		Down:          s.down.Load(),
		BacklogTokens: load.Backlog,
		PromptRate:    load.PromptRate,
		MaxRunning:    int32(load.MaxRunning),
	}
}

// Reply returns the response to a status call.
func (s *Status) Reply() *wirev1.StatusReply {
	return &wirev1.StatusReply{
		Endpoint:   s.identity.Endpoint,
		DataCentre: s.identity.DataCentre,
		Instance:   s.identity.Instance,
		Kind:       s.identity.Kind,
		Load:       s.Load(),
	}
}
