// Package capacityorders orders endpoints from the platform. The holder of a data
// centre's capacity lease runs it.
//
// Each order is first stored as an intent, in a transaction that succeeds only in
// the holder's term, and then placed under the intent's id. It states a target,
// not an increment. A new holder places the unplaced intents of its predecessor
// before it states a target of its own. A late order of the predecessor then
// carries an id that the platform has already seen, and has no effect.
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
	tableName    = "capacity-intents"
	stepInterval = 5 * time.Second
	stepTimeout  = 4 * time.Second
	maxKinds     = 1000 // Maximum number of endpoint kinds in one data centre.
)

var log = logging.For("entry/capacity")

// LeaseName returns the name of a data centre's capacity lease.
func LeaseName(dataCentre string) string { return "capacity/" + dataCentre }

// Target is the number of endpoints of a kind that a data centre should have.
type Target struct {
	Kind  string
	Count int
}

// Targets returns the targets of a data centre. The number of endpoints of a kind
// without a target stays unchanged.
type Targets interface {
	Targets(dataCentre string) []Target
}

// Lease is the data centre's capacity lease.
type Lease interface {
	Fence() (leasekeeper.Fence, bool)
}

// Intent is a stored order.
type Intent struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	Kind       string `json:"kind"`
	Target     int    `json:"target"`
	Epoch      int64  `json:"epoch"` // Epoch of the term in which the target was decided.
	Placed     bool   `json:"placed"`
}

// storedIntent is an intent and the version of its row, 0 if there is no row.
type storedIntent struct {
	Intent
	version int64
}

// Reconciler orders endpoints for one data centre.
type Reconciler struct {
	dataCentre string
	instance   string
	tables     tables.Service
	orders     capacity.Placer
	lease      Lease
	targets    Targets
}

// New returns a Reconciler for a data centre. The connections of orders must
// refuse writes once the term has ended; see netx.Guarded.
func New(dataCentre, instance string, service tables.Service, orders capacity.Placer, lease Lease, targets Targets) *Reconciler {
	return &Reconciler{dataCentre: dataCentre, instance: instance, tables: service, orders: orders, lease: lease, targets: targets}
}

// Run calls Step at a fixed interval until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	clock.Every(ctx, stepInterval, func() {
		if err := r.Step(ctx); err != nil {
			log.Error(err, "Endpoints could not be ordered; the next step retries.", "data_centre", r.dataCentre)
		}
	})
}

// Step places the stored intents that are not placed yet, and then orders the
// targets that changed. It does nothing if this process does not hold the lease.
func (r *Reconciler) Step(ctx context.Context) error {
	fence, held := r.lease.Fence()
	if !held {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	intents, err := r.readIntents(ctx)
	if err != nil {
		return err
	}
	for kind, intent := range intents {
		if intent.Placed {
			continue
		}
		if intents[kind], err = r.place(ctx, fence, intent); err != nil {
			return err
		}
	}
	for _, target := range r.targets.Targets(r.dataCentre) {
		if err := r.applyTarget(ctx, fence, target, intents[target.Kind]); err != nil {
			return err
		}
	}
	return nil
}

// applyTarget stores and places an intent if the target differs from the last one.
func (r *Reconciler) applyTarget(ctx context.Context, fence leasekeeper.Fence, target Target, last storedIntent) error {
	if last.version != 0 && last.Target == target.Count {
		return nil
	}
	invariant.Check(last.version == 0 || last.Placed, invariant.PredecessorSettled, "intent %s is not placed", last.ID)
	next := storedIntent{version: last.version, Intent: Intent{
		ID:         uuid.NewString(),
		DataCentre: r.dataCentre,
		Kind:       target.Kind,
		Target:     target.Count,
		Epoch:      int64(fence.Term.Row.Epoch),
	}}
	stored, err := r.writeIntent(ctx, fence, next)
	if err != nil {
		return err
	}
	_, err = r.place(ctx, fence, stored)
	return err
}

// place sends the order of an intent and stores that the platform accepted it.
func (r *Reconciler) place(ctx context.Context, fence leasekeeper.Fence, intent storedIntent) (storedIntent, error) {
	current, held := r.lease.Fence()
	if !held || current.Term.Row.Epoch != fence.Term.Row.Epoch {
		return intent, fmt.Errorf("capacity: the term %d ended; remedy: none needed, the next holder continues", fence.Term.Row.Epoch)
	}
	invariant.Check(intent.version != 0, invariant.IntentBeforeOrder, "order %s without a stored intent", intent.ID)
	order := capacity.Order{
		ID:         intent.ID,
		DataCentre: intent.DataCentre,
		Kind:       intent.Kind,
		Target:     intent.Target,
		Epoch:      int64(fence.Term.Row.Epoch),
		Holder:     r.instance,
	}
	if err := r.orders.Place(ctx, order); err != nil {
		return intent, err
	}
	log.Info("Endpoints were ordered.", "data_centre", r.dataCentre, "kind", intent.Kind, "target", intent.Target, "epoch", order.Epoch)
	intent.Placed = true
	return r.writeIntent(ctx, fence, intent)
}

// writeIntent stores an intent. It fails if the term has ended or the row was
// written since it was read.
func (r *Reconciler) writeIntent(ctx context.Context, fence leasekeeper.Fence, intent storedIntent) (storedIntent, error) {
	value, err := json.Marshal(intent.Intent)
	if err != nil {
		return intent, err
	}
	key := tables.Key{Table: tableName, Row: r.dataCentre + "/" + intent.Kind}
	err = r.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{fence.Guard, {Key: key, Version: intent.version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return intent, err
	}
	stored, err := r.tables.Get(ctx, key)
	intent.version = stored.Version
	return intent, err
}

func (r *Reconciler) readIntents(ctx context.Context) (map[string]storedIntent, error) {
	prefix := r.dataCentre + "/"
	rows, err := r.tables.Scan(ctx, tableName, prefix, prefix, maxKinds)
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
