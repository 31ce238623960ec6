package account

import (
	"sync"
	"time"

	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Acks holds the pending acknowledgements of durable records for each agent. They
// are sent with the next run on the agent. A lost acknowledgement causes a
// duplicate row.
type Acks struct {
	mu        sync.Mutex
	byAddress map[string]*pendingAck
}

type pendingAck struct {
	durable *wirev1.UsageDurable
	since   time.Time
}

// NewAcks returns an empty Acks.
func NewAcks() *Acks { return &Acks{byAddress: make(map[string]*pendingAck)} }

// AddDurable adds the acknowledgement of a durable record of the agent at address.
func (a *Acks) AddDurable(address string, record usage.Record, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pending, known := a.byAddress[address]
	if !known || pending.durable.Source != record.Source {
		pending = &pendingAck{durable: &wirev1.UsageDurable{Source: record.Source}, since: now}
		a.byAddress[address] = pending
	}
	pending.durable.Sequences = append(pending.durable.Sequences, record.Sequence)
}

// Take removes and returns the pending acknowledgements for the agent at address,
// or nil if there are none.
func (a *Acks) Take(address string) *wirev1.UsageDurable {
	a.mu.Lock()
	defer a.mu.Unlock()
	pending, known := a.byAddress[address]
	if !known {
		return nil
	}
	delete(a.byAddress, address)
	return pending.durable
}

// TakeOlderThan removes and returns, by agent address, the acknowledgements of the
// agents whose oldest one has been pending since before the given time.
func (a *Acks) TakeOlderThan(before time.Time) map[string]*wirev1.UsageDurable {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := make(map[string]*wirev1.UsageDurable)
	for address, pending := range a.byAddress {
		if pending.since.Before(before) {
			taken[address] = pending.durable
			delete(a.byAddress, address)
		}
	}
	return taken
}
