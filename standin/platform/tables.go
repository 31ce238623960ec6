// Package platform is a small stand-in of the users' platform: table service,
// object store, VM list, capacity orders and usage reports, with faults on demand.
package platform

import (
	"context"
	"sort"
	"strings"
	"sync"

	"flamingospar.org/platform/tables"
)

// Tables is an in-memory transactional table service.
type Tables struct {
	mu   sync.Mutex
	rows map[tables.Key]tables.Row
	// Deleted rows keep their version, so that a row never returns to an old one.
	tombs map[tables.Key]int64

	reads  int64
	writes int64
}

// NewTables returns an empty table service.
func NewTables() *Tables {
	return &Tables{rows: make(map[tables.Key]tables.Row), tombs: make(map[tables.Key]int64)}
}

// Get implements tables.Service.
func (t *Tables) Get(_ context.Context, key tables.Key) (tables.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	row, ok := t.rows[key]
	if !ok {
		return tables.Row{}, tables.ErrNotFound
	}
	return row, nil
}

// Scan implements tables.Service.
func (t *Tables) Scan(_ context.Context, table, prefix, start string, limit int) ([]tables.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	found := []tables.Row{}
	for key, row := range t.rows {
		if key.Table == table && strings.HasPrefix(key.Row, prefix) && key.Row >= start {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key.Row < found[j].Key.Row })
	if len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit implements tables.Service.
func (t *Tables) Commit(_ context.Context, txn tables.Txn) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	for _, condition := range txn.Conditions {
		if t.rows[condition.Key].Version != condition.Version {
			return tables.ErrConflict
		}
	}
	for _, write := range txn.Writes {
		t.apply(write)
	}
	return nil
}

func (t *Tables) apply(write tables.Write) {
	version := max(t.rows[write.Key].Version, t.tombs[write.Key])
	if write.Delete {
		delete(t.rows, write.Key)
		t.tombs[write.Key] = version
		return
	}
	t.rows[write.Key] = tables.Row{Key: write.Key, Version: version + 1, Value: write.Value}
}

// Operations returns how many reads and writes were asked for.
func (t *Tables) Operations() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
