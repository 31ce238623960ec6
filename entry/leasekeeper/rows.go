package leasekeeper

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"flamingospar.org/core/lease"
	"flamingospar.org/platform/tables"
)

func (k *Keeper) nextAttempt() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempt++
	return k.attempt
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

// write commits row together with the rest of txn. The term counts from a time
// before the write is sent. That time is kept until it is known which write came
// last, since the response may be lost.
func (k *Keeper) write(ctx context.Context, row lease.Row, txn tables.Txn) {
	value, err := json.Marshal(row)
	if err != nil {
		return
	}
	txn.Writes = append(txn.Writes, tables.Write{Key: k.key, Value: value})
	sentAt := k.clock()
	k.trackWrite(row, sentAt)
	err = k.tables.Commit(ctx, txn)
	if errors.Is(err, tables.ErrConflict) {
		log.Info("Another process wrote the lease first.", "lease", k.key.Row, "epoch", row.Epoch)
		return
	}
	if err != nil {
		log.Error(err, "The result of a write of the lease is unknown; the next read determines it.", "lease", k.key.Row, "epoch", row.Epoch)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, pending := k.pendingWrites[row]; pending {
		k.startTermLocked(row, sentAt)
	}
}

func (k *Keeper) trackWrite(row lease.Row, sentAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for earlier, pendingSince := range k.pendingWrites {
		if sentAt.Sub(pendingSince) >= k.term {
			delete(k.pendingWrites, earlier)
		}
	}
	if k.isOwn(row) {
		k.pendingWrites[row] = sentAt
	}
}
