// Package capacityorders is the duty of the holder of a data centre's capacity
// lease: it orders endpoints from the platform.
//
// Each order is first written as an intent, in a transaction that holds only in
// the holder's term, and then placed under the intent's id. It states a target,
// not an increment. A later holder places what its predecessor left before it
// states a target of its own, so that a late order of the predecessor carries
// an id that the platform has seen, and has no effect.
package capacityorders

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/capacity"
	"flamingospar.org/platform/tables"
)

const (
	tableName   = "capacity-intents"
	stepEvery   = 5 * time.Second
	stepTimeout = 4 * time.Second
	maxKinds    = 1000 // Of endpoints in one data centre.
)

var log = logging.For("entry/capacity")

// LeaseName returns the name of a data centre's capacity lease.
func LeaseName(dataCentre string) string { return "capacity/" + dataCentre }

// Target is how many endpoints of a kind a data centre should have.
type Target struct {
	Kind  string
	Count int
}

// Targets decides. A kind that is left out is left as it is.
type Targets interface {
	Targets(dataCentre string) []Target
}

// Lease tells whether this process holds the data centre's capacity lease.
type Lease interface {
	Fence() (leasekeeper.Fence, bool)
}

// Intent is a stored order.
type Intent struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"`
	Target     int    `json:"target"`
	Epoch      int64  `json:"epoch"` // Of the term that decided it.
	Placed     bool   `json:"placed"`
}

// storedIntent is an intent and the version of its row, 0 when there is none.
type storedIntent struct {
	Intent
	version int64
}

// Duty orders endpoints for one data centre.
type Duty struct {
	dataCentre string
	instance   string
	tables     tables.Service
	orders     capacity.Placer
	lease      Lease
	targets    Targets
}

// New returns the duty of the process instance for a data centre. The
// connections of orders must be closed to an ended term; see netx.Guarded.
func New(dataCentre, instance string, service tables.Service, orders capacity.Placer, lease Lease, targets Targets) *Duty {
	return &Duty{dataCentre: dataCentre, instance: instance, tables: service, orders: orders, lease: lease, targets: targets}
}

// Run orders endpoints until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	clock.Every(ctx, stepEvery, func() {
		if err := d.Step(ctx); err != nil {
			log.Error(err, "Endpoints could not be ordered; it is tried again.", "data_centre", d.dataCentre)
		}
	})
}

// Step places what is not yet placed, and then what the targets ask for.
func (d *Duty) Step(ctx context.Context) error {
	fence, held := d.lease.Fence()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	intents, err := d.read(ctx)
	if err != nil {
		return err
	}
	for kind, intent := range intents {
		if intent.Placed {
			continue
		}
		if intents[kind], err = d.place(ctx, fence, intent); err != nil {
			return err
		}
	}
	for _, target := range d.targets.Targets(d.dataCentre) {
		if err := d.follow(ctx, fence, target, intents[target.Kind]); err != nil {
			return err
		}
	}
	return nil
}

// follow states a target if it differs from the last one.
func (d *Duty) follow(ctx context.Context, fence leasekeeper.Fence, target Target, last storedIntent) error {
	if last.version != 0 && last.Target == target.Count {
		return nil
	}
	invariant.Check(last.version == 0 || last.Placed, invariant.PredecessorSettled, "intent %s is not placed", last.ID)
	next := storedIntent{version: last.version, Intent: Intent{
		ID:         uuid.NewString(),
		DataCentre: d.dataCentre,
		Kind:       target.Kind,
		Target:     target.Count,
		Epoch:      int64(fence.Term.Row.Epoch),
	}}
	stored, err := d.write(ctx, fence, next)
	if err != nil {
		return err
	}
	_, err = d.place(ctx, fence, stored)
	return err
}

// place sends an intent's order and notes that the platform took it.
func (d *Duty) place(ctx context.Context, fence leasekeeper.Fence, intent storedIntent) (storedIntent, error) {
	now, held := d.lease.Fence()
	if !held || now.Term.Row.Epoch != fence.Term.Row.Epoch {
		return intent, fmt.Errorf("capacity: the term %d ended; remedy: the next holder goes on", fence.Term.Row.Epoch)
	}
	invariant.Check(intent.version != 0, invariant.IntentBeforeOrder, "order %s without a stored intent", intent.ID)
	order := capacity.Order{
		ID:         intent.ID,
		DataCentre: intent.DataCentre,
		Kind:       intent.Kind,
		Target:     intent.Target,
		Epoch:      int64(fence.Term.Row.Epoch),
		Holder:     d.instance,
	}
	if err := d.orders.Place(ctx, order); err != nil {
		return intent, err
	}
	log.Info("Endpoints were ordered.", "data_centre", d.dataCentre, "kind", intent.Kind, "target", intent.Target, "epoch", order.Epoch)
	intent.Placed = true
	return d.write(ctx, fence, intent)
}

// write stores an intent, provided that the term has not ended and nobody else
// wrote it since it was read.
func (d *Duty) write(ctx context.Context, fence leasekeeper.Fence, intent storedIntent) (storedIntent, error) {
	value, err := json.Marshal(intent.Intent)
	if err != nil {
		return intent, err
	}
	key := tables.Key{Table: tableName, Row: d.dataCentre + "/" + intent.Kind}
	err = d.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{fence.Guard, {Key: key, Version: intent.version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return intent, err
	}
	stored, err := d.tables.Get(ctx, key)
	intent.version = stored.Version
	return intent, err
}

func (d *Duty) read(ctx context.Context) (map[string]storedIntent, error) {
	prefix := d.dataCentre + "/"
	rows, err := d.tables.Scan(ctx, tableName, prefix, prefix, maxKinds)
	if err != nil {
		return nil, err
	}
	intents := make(map[string]storedIntent, len(rows))
	for _, row := range rows {
		intent := storedIntent{version: row.Version}
		if err := json.Unmarshal(row.Value, &intent.Intent); err != nil {
			return nil, err
		}
		intents[intent.Kind] = intent
	}
	return intents, nil
}
