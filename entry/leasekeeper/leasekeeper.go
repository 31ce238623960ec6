// Package leasekeeper takes and renews one lease in the table service for this
// process.
package leasekeeper

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/lease"
	"flamingospar.org/platform/tables"
)

const (
	tableName   = "leases"
	term        = 10 * time.Second
	renewEvery  = 3 * time.Second
	callTimeout = 2 * time.Second
)

var log = logging.For("entry/lease")

// Keeper holds or waits for one lease.
type Keeper struct {
	tables   tables.Service
	key      tables.Key
	instance string

	mu       sync.Mutex
	observed lease.Observed
	version  int64
	held     lease.Term
}

// New returns a keeper of the lease with a name for the process instance.
func New(service tables.Service, name, instance string) *Keeper {
	return &Keeper{tables: service, key: tables.Key{Table: tableName, Row: name}, instance: instance}
}

// Run takes and renews the lease until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	ticker := time.NewTicker(renewEvery)
	defer ticker.Stop()
	for {
		k.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Held returns the term and whether this process may act under it now.
func (k *Keeper) Held() (lease.Term, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held, k.held.Valid(time.Now())
}

// Guard returns the condition under which a transaction of the term may take
// effect: the lease row is still as this process wrote it.
func (k *Keeper) Guard() tables.Condition {
	k.mu.Lock()
	defer k.mu.Unlock()
	return tables.Condition{Key: k.key, Version: k.version}
}

// Step reads the row, then renews or takes the lease if it may.
func (k *Keeper) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, version, err := k.read(ctx)
	if err != nil {
		log.Error(err, "The lease could not be read.", "lease", k.key.Row)
		return
	}
	k.mu.Lock()
	k.observed = k.observed.Observe(row, time.Now())
	observed, held := k.observed, k.held
	k.mu.Unlock()
	switch {
	case row.Holder == k.instance && row.Epoch == held.Row.Epoch:
		k.write(ctx, lease.Term{Row: row}.Renewal(), version)
	case observed.MayTake(time.Now()):
		k.write(ctx, observed.Take(k.instance, term), version)
	}
}

func (k *Keeper) read(ctx context.Context) (lease.Row, int64, error) {
	stored, err := k.tables.Get(ctx, k.key)
	if errors.Is(err, tables.ErrNotFound) {
		return lease.Row{}, 0, nil
	}
	if err != nil {
		return lease.Row{}, 0, err
	}
	var row lease.Row
	err = json.Unmarshal(stored.Value, &row)
	return row, stored.Version, err
}

func (k *Keeper) write(ctx context.Context, row lease.Row, version int64) {
	sent := time.Now()
	value, err := json.Marshal(row)
	if err != nil {
		return
	}
	err = k.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: k.key, Version: version}},
		Writes:     []tables.Write{{Key: k.key, Value: value}},
	})
	if err != nil {
		log.Error(err, "The lease could not be written.", "lease", k.key.Row)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Epoch != k.held.Row.Epoch {
		log.Info("The lease was taken.", "lease", k.key.Row, "epoch", row.Epoch)
	}
	k.held = lease.Term{Row: row, Sent: sent}
	k.version = version + 1
}
