package configview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flamingospar.org/core/config"
	"flamingospar.org/platform/tables"
)

// Places in the table service and the object store.
const (
	tableName      = "config"
	headRow        = "head"
	snapshotRow    = "snapshot"
	changeRow      = "change/%020d"
	changePrefix   = "change/"
	idRow          = "id/"
	snapshotObject = "config-snapshot-%020d"
)

const changesAtOne = 500

// head is the value of the head row.
type head struct {
	Revision config.Revision `json:"revision"`
}

// storedHead is the head and the version of its row, 0 when there is none.
type storedHead struct {
	head
	version int64
}

// pointer is the value of the snapshot row.
type pointer struct {
	Revision config.Revision `json:"revision"`
	Object   string          `json:"object"`
}

// readStore catches up with the head row and takes the read as evidence. It is
// called with following held.
func (v *View) readStore(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	asked := v.options.Clock()
	stored, err := v.readHead(ctx)
	if err != nil {
		return storedHead{}, err
	}
	if err := v.readUpTo(ctx, stored.Revision); err != nil {
		return storedHead{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.current.Load() == nil {
		v.install(config.Empty())
	}
	if stored.Revision < v.heldOrEmpty().Revision {
		// A peer's push came after the head was read: the read proves nothing
		// about what is held now, and the next one will.
		return stored, nil
	}
	v.freshness.RecordStoreRead(asked)
	return stored, nil
}

func (v *View) readUpTo(ctx context.Context, revision config.Revision) error {
	if err := v.readSnapshot(ctx, revision); err != nil {
		return err
	}
	for v.heldOrEmpty().Revision < revision {
		if err := v.readNext(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) readNext(ctx context.Context) error {
	next := v.heldOrEmpty().Revision + 1
	changes, err := v.scan(ctx, next, changesAtOne)
	if err != nil {
		return err
	}
	if len(changes) == 0 || changes[0].Revision != next {
		return fmt.Errorf("config: change %d is missing; remedy: restore the table service's config table", next)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.take(changes)
	return nil
}

func (v *View) scan(ctx context.Context, from config.Revision, limit int) ([]config.Change, error) {
	rows, err := v.tables.Scan(ctx, tableName, changePrefix, fmt.Sprintf(changeRow, from), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]config.Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// readHead returns the head as stored.
func (v *View) readHead(ctx context.Context) (storedHead, error) {
	stored := storedHead{}
	version, err := v.readRow(ctx, headRow, &stored.head)
	stored.version = version
	return stored, err
}

// readRow decodes a row of the config table; version 0 means that it is absent.
func (v *View) readRow(ctx context.Context, row string, into any) (int64, error) {
	stored, err := v.tables.Get(ctx, tables.Key{Table: tableName, Row: row})
	if errors.Is(err, tables.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return stored.Version, json.Unmarshal(stored.Value, into)
}
