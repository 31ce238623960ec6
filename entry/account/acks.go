package account

import (
	"sync"
	"time"

	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Acks holds, for each agent, the records that are durable and of which it was
// not yet told. They ride on the next run; a lost one costs a duplicate row.
type Acks struct {
	mu        sync.Mutex
	byAddress map[string]*pendingAck
}

type pendingAck struct {
	durable *wirev1.UsageDurable
	since   time.Time
}

// NewAcks returns an empty holder.
func NewAcks() *Acks { return &Acks{byAddress: make(map[string]*pendingAck)} }

// Durable notes that a record of the agent at address is durable.
func (a *Acks) Durable(address string, record usage.Record, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	pending, known := a.byAddress[address]
	if !known || pending.durable.Source != record.Source {
		pending = &pendingAck{durable: &wirev1.UsageDurable{Source: record.Source}, since: now}
		a.byAddress[address] = pending
	}
	pending.durable.Sequences = append(pending.durable.Sequences, record.Sequence)
}

// Take returns and forgets what the agent at address is to be told, nil when
// there is nothing.
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

// TakeSince returns and forgets what has waited since before an instant.
func (a *Acks) TakeSince(before time.Time) map[string]*wirev1.UsageDurable {
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
