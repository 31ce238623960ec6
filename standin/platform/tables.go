// Package platform is an in-memory simulation of the users' platform: table
// service, object store, weight store, VM list, capacity orders and usage reports.
// Faults can be injected from code and over HTTP.
package platform

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"

	"flamingospar.org/platform/tables"
)

// Tables is an in-memory transactional table service. It implements
// tables.Service.
type Tables struct {
	mu   sync.Mutex
	rows map[tables.Key]tables.Row
	// tombstones keeps the versions of deleted rows, so that a row created again
	// does not reuse a version.
	tombstones map[tables.Key]int64

	reads  int64
	writes int64
}

// NewTables returns an empty table service.
func NewTables() *Tables {
	return &Tables{rows: make(map[tables.Key]tables.Row), tombstones: make(map[tables.Key]int64)}
}

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

func (t *Tables) Scan(_ context.Context, table, prefix, start string, limit int) ([]tables.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	matches := []tables.Row{}
	for key, row := range t.rows {
		if key.Table == table && strings.HasPrefix(key.Row, prefix) && key.Row >= start {
			matches = append(matches, row)
		}
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i].Key.Row < matches[j].Key.Row })
	if len(matches) > limit {
		matches = matches[:limit]
	}
	return matches, nil
}

// Commit applies all writes, or none if a condition does not hold.
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
	version := max(t.rows[write.Key].Version, t.tombstones[write.Key])
	if write.Delete {
		delete(t.rows, write.Key)
		t.tombstones[write.Key] = version
		return
	}
	t.rows[write.Key] = tables.Row{Key: write.Key, Version: version + 1, Value: write.Value}
}

// Copy returns a copy of all rows.
func (t *Tables) Copy() *Tables {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Tables{rows: maps.Clone(t.rows), tombstones: maps.Clone(t.tombstones)}
}

// Restore replaces all rows by those of a copy. Versions go on from those of the copy.
func (t *Tables) Restore(c *Tables) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.tombstones = maps.Clone(c.rows), maps.Clone(c.tombstones)
}

// Operations returns the numbers of reads and writes requested, failed ones
// included.
func (t *Tables) Operations() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}
