package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"flamingospar.org/platform/tables"
)

const epochTable = "endpoint-epochs"

// epochRow holds the fencing epoch of an endpoint's orders and the agent process
// that raised it.
type epochRow struct {
	Epoch    int64  `json:"epoch"`
	Instance string `json:"instance"`
}

// raiseEpoch raises the endpoint's epoch. An agent must do so once after its
// start before it sends an order, so a new agent sends none during a store
// outage.
func (r *Reconciler) raiseEpoch(ctx context.Context, now time.Time) {
	if now.Sub(r.epochTriedAt) < epochRetryInterval && !r.epochTriedAt.IsZero() {
		return
	}
	r.epochTriedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := r.incrementEpoch(ctx)
	if err != nil {
		r.count("raise_failed")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SetEpoch(epoch)
}

// incrementEpoch writes the next epoch with this process as its instance. If the
// row already has that instance, an earlier call wrote it and its response was
// lost.
func (r *Reconciler) incrementEpoch(ctx context.Context) (int64, error) {
	key := tables.Key{Table: epochTable, Row: r.deps.Name}
	stored, err := r.deps.Tables.Get(ctx, key)
	if err != nil && !errors.Is(err, tables.ErrNotFound) {
		return 0, err
	}
	var row epochRow
	if err == nil {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return 0, err
		}
	}
	raisedBy := fmt.Sprintf("%s/%d", r.deps.Instance, r.outdatedCount)
	if row.Instance == raisedBy {
		return row.Epoch, nil
	}
	row = epochRow{Epoch: row.Epoch + 1, Instance: raisedBy}
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	return row.Epoch, r.deps.Tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: key, Version: stored.Version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
}
