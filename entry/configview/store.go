package configview

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"flamingospar.org/core/config"
	"flamingospar.org/platform/tables"
)

// Rows in the table service and object names in the object store.
const (
	tableName            = "config"
	headRow              = "head"
	snapshotRow          = "snapshot"
	changeRowFormat      = "change/%020d"
	changePrefix         = "change/"
	idPrefix             = "id/"
	snapshotObjectFormat = "config-snapshot-%020d"
)

const maxScanChanges = 500

// head is the value of the head row.
type head struct {
	Revision config.Revision `json:"revision"`
}

// storedHead is the head and the version of its row, which is 0 if there is no row.
type storedHead struct {
	head
	version int64
}

// snapshotPointer is the value of the snapshot row.
type snapshotPointer struct {
	Revision config.Revision `json:"revision"`
	Object   string          `json:"object"`
}

// readStore applies all changes up to the head row and records the read as
// evidence. The caller holds storeMu.
func (v *View) readStore(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	requestedAt := v.options.Clock()
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
	if stored.Revision < v.latestOrEmpty().Revision {
		// A peer sent a newer change after the head was read, so this read is no
		// evidence for the current revision. The next read will be.
		return stored, nil
	}
	v.freshness.RecordStoreRead(requestedAt)
	return stored, nil
}

func (v *View) readUpTo(ctx context.Context, revision config.Revision) error {
	if err := v.readSnapshot(ctx, revision); err != nil {
		return err
	}
	for v.latestOrEmpty().Revision < revision {
		if err := v.readNext(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (v *View) readNext(ctx context.Context) error {
	next := v.latestOrEmpty().Revision + 1
	changes, err := v.scan(ctx, next, maxScanChanges)
	if err != nil {
		return err
	}
	if len(changes) == 0 || changes[0].Revision != next {
		return fmt.Errorf("config: change %d is missing; remedy: restore the table service's config table", next)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.apply(changes)
	return nil
}

func (v *View) scan(ctx context.Context, from config.Revision, limit int) ([]config.Change, error) {
	rows, err := v.tables.Scan(ctx, tableName, changePrefix, fmt.Sprintf(changeRowFormat, from), limit)
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

// readHead reads the head row.
func (v *View) readHead(ctx context.Context) (storedHead, error) {
	stored := storedHead{}
	version, err := v.readRow(ctx, headRow, &stored.head)
	stored.version = version
	return stored, err
}

// readRow decodes a row of the config table and returns its version, which is 0
// if the row does not exist.
func (v *View) readRow(ctx context.Context, row string, value any) (int64, error) {
	stored, err := v.tables.Get(ctx, tables.Key{Table: tableName, Row: row})
	if errors.Is(err, tables.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return stored.Version, json.Unmarshal(stored.Value, value)
}
