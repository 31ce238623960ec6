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

// epochRow is the fencing number of an endpoint's orders and the agent process
// that raised it.
type epochRow struct {
	Epoch    int64  `json:"epoch"`
	Instance string `json:"instance"`
}

// raise raises the endpoint's epoch. While the store does not answer, no order
// is given by an agent that has not done so since its start.
func (d *Duty) raise(ctx context.Context, now time.Time) {
	if now.Sub(d.raisedAt) < raiseEvery && !d.raisedAt.IsZero() {
		return
	}
	d.raisedAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	epoch, err := d.raiseRow(ctx)
	if err != nil {
		d.count("raise_failed")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.SetEpoch(epoch)
}

// raiseRow writes the next epoch under this process's name. A row that has the
// name already was written by a call whose answer was lost.
func (d *Duty) raiseRow(ctx context.Context) (int64, error) {
	key := tables.Key{Table: epochTable, Row: d.parts.Name}
	stored, err := d.parts.Tables.Get(ctx, key)
	if err != nil && !errors.Is(err, tables.ErrNotFound) {
		return 0, err
	}
	var row epochRow
	if err == nil {
		if err := json.Unmarshal(stored.Value, &row); err != nil {
			return 0, err
		}
	}
	name := fmt.Sprintf("%s/%d", d.parts.Instance, d.outdated)
	if row.Instance == name {
		return row.Epoch, nil
	}
	row = epochRow{Epoch: row.Epoch + 1, Instance: name}
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	return row.Epoch, d.parts.Tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: key, Version: stored.Version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
}
