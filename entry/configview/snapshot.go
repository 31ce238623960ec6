package configview

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flamingospar.org/core/config"
	"flamingospar.org/platform/tables"
)

const (
	defaultSnapshotEvery config.Revision = 1000
	// historyKept is how many changes stay readable behind the newest snapshot.
	historyKept     config.Revision = 100_000
	snapshotTimeout                 = 30 * time.Second
	pruneAtOnce                     = 200
)

// readSnapshot takes the stored snapshot when the changes up to revision are
// more than one read brings.
func (v *View) readSnapshot(ctx context.Context, revision config.Revision) error {
	if v.options.Objects == nil || revision-v.heldOrEmpty().Revision <= changesAtOne {
		return nil
	}
	var stored pointer
	version, err := v.readRow(ctx, snapshotRow, &stored)
	if err != nil || version == 0 || stored.Revision <= v.heldOrEmpty().Revision {
		return err
	}
	data, err := v.options.Objects.Get(ctx, stored.Object)
	if err != nil {
		return err
	}
	var snapshot config.Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.takeSnapshot(snapshot)
	return nil
}

// compact stores a snapshot after each SnapshotEvery changes. Only the entry
// that wrote the change with that revision does so; when it dies first, the
// next one comes SnapshotEvery changes later.
func (v *View) compact(ctx context.Context, revision config.Revision) {
	if v.options.Objects == nil || revision%v.options.SnapshotEvery != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
	defer cancel()
	if err := v.writeSnapshot(ctx); err != nil {
		log.Error(err, "The snapshot could not be stored; the next one is tried later.")
	}
}

func (v *View) writeSnapshot(ctx context.Context) error {
	state := v.heldOrEmpty()
	var before pointer
	version, err := v.readRow(ctx, snapshotRow, &before)
	if err != nil || before.Revision >= state.Revision {
		return err
	}
	data, err := json.Marshal(state.Snapshot())
	if err != nil {
		return err
	}
	name := fmt.Sprintf(snapshotObject, state.Revision)
	if err := v.options.Objects.Put(ctx, name, data); err != nil {
		return err
	}
	value, err := json.Marshal(pointer{Revision: state.Revision, Object: name})
	if err != nil {
		return err
	}
	key := tables.Key{Table: tableName, Row: snapshotRow}
	err = v.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: key, Version: version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
	if err != nil {
		return err
	}
	v.count("config", "snapshot")
	return v.prune(ctx, state.Revision-historyKept)
}

// prune deletes the changes up to revision, and their ids.
func (v *View) prune(ctx context.Context, revision config.Revision) error {
	for {
		oldest, err := v.scan(ctx, 1, pruneAtOnce)
		if err != nil {
			return err
		}
		writes := deletions(oldest, revision)
		if len(writes) == 0 {
			return nil
		}
		if err := v.tables.Commit(ctx, tables.Txn{Writes: writes}); err != nil {
			return err
		}
	}
}

func deletions(changes []config.Change, upTo config.Revision) []tables.Write {
	var writes []tables.Write
	for _, change := range changes {
		if change.Revision > upTo {
			break
		}
		writes = append(writes,
			tables.Write{Key: tables.Key{Table: tableName, Row: fmt.Sprintf(changeRow, change.Revision)}, Delete: true},
			tables.Write{Key: tables.Key{Table: tableName, Row: idRow + change.ID}, Delete: true})
	}
	return writes
}
