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
	// retainedChanges is the number of changes before the newest snapshot that stay
	// readable.
	retainedChanges config.Revision = 100_000
	snapshotTimeout                 = 30 * time.Second
	pruneBatchSize                  = 200
)

// readSnapshot loads the stored snapshot if the changes up to revision exceed one
// scan.
func (v *View) readSnapshot(ctx context.Context, revision config.Revision) error {
	if v.options.Objects == nil || revision-v.latestOrEmpty().Revision <= maxScanChanges {
		return nil
	}
	var stored snapshotPointer
	version, err := v.readRow(ctx, snapshotRow, &stored)
	if err != nil || version == 0 || stored.Revision <= v.latestOrEmpty().Revision {
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
	v.applySnapshot(snapshot)
	return nil
}

// compact stores a snapshot after every SnapshotEvery changes. Only the entry
// that wrote the change with that revision does so; if it stops before that, the
// next snapshot is written SnapshotEvery changes later.
func (v *View) compact(ctx context.Context, revision config.Revision) {
	if v.options.Objects == nil || revision%v.options.SnapshotEvery != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), snapshotTimeout)
	defer cancel()
	if err := v.writeSnapshot(ctx); err != nil {
		log.Error(err, "Storing the configuration snapshot failed; the next attempt follows with a later revision.")
	}
}

func (v *View) writeSnapshot(ctx context.Context) error {
	state := v.latestOrEmpty()
	var previous snapshotPointer
	version, err := v.readRow(ctx, snapshotRow, &previous)
	if err != nil || previous.Revision >= state.Revision {
		return err
	}
	data, err := json.Marshal(state.Snapshot())
	if err != nil {
		return err
	}
	name := fmt.Sprintf(snapshotObjectFormat, state.Revision)
	if err := v.options.Objects.Put(ctx, name, data); err != nil {
		return err
	}
	value, err := json.Marshal(snapshotPointer{Revision: state.Revision, Object: name})
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
	return v.prune(ctx, state.Revision-retainedChanges)
}

// prune deletes the changes up to revision and their ID rows.
func (v *View) prune(ctx context.Context, revision config.Revision) error {
	for {
		oldest, err := v.scan(ctx, 1, pruneBatchSize)
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
			tables.Write{Key: tables.Key{Table: tableName, Row: fmt.Sprintf(changeRowFormat, change.Revision)}, Delete: true},
			tables.Write{Key: tables.Key{Table: tableName, Row: idPrefix + change.ID}, Delete: true})
	}
	return writes
}
