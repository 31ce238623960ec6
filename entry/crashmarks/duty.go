package crashmarks

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"flamingospar.org/core/crash"
	"flamingospar.org/platform/tables"
)

const (
	tableName    = "crashes"
	tellTimeout  = 200 * time.Millisecond
	swapInterval = 2 * time.Second
	readInterval = 10 * time.Second
	callTimeout  = 2 * time.Second
	maxRows      = crash.MaxMarks
)

// Run spreads and stores marks until ctx ends.
func (f *Filter) Run(ctx context.Context) {
	swap := time.NewTicker(swapInterval)
	defer swap.Stop()
	read := time.NewTicker(readInterval)
	defer read.Stop()
	f.read(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-swap.C:
			f.swap(ctx)
			f.write(ctx)
		case <-read.C:
			f.read(ctx)
		}
	}
}

// swap brings this entry and one agent to the same marks.
func (f *Filter) swap(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	f.book.RemoveExpired(time.Now())
	own := f.book.All()
	f.mu.Unlock()
	theirs, err := f.peers.Swap(ctx, own)
	if err != nil {
		return
	}
	f.merge(theirs, false)
}

// read takes in the rows of the other entries and of operators.
func (f *Filter) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := f.tables.Scan(ctx, tableName, "", "", maxRows)
	if err != nil {
		return
	}
	var marks []crash.Mark
	for _, row := range rows {
		var mark crash.Mark
		if json.Unmarshal(row.Value, &mark) != nil {
			continue
		}
		if mark.Expired(time.Now()) {
			f.remove(ctx, row)
			continue
		}
		marks = append(marks, mark)
	}
	f.merge(marks, false)
}

func (f *Filter) remove(ctx context.Context, row tables.Row) {
	_ = f.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []tables.Write{{Key: row.Key, Delete: true}},
	})
}

// write stores the marks that changed here. What fails is tried again.
func (f *Filter) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, fingerprint := range f.dirtyMarks() {
		if err := f.store(ctx, fingerprint); err != nil {
			log.Error(err, "A crash mark could not be stored; it is tried again.")
			return
		}
		f.mu.Lock()
		delete(f.dirty, fingerprint)
		f.mu.Unlock()
	}
}

func (f *Filter) dirtyMarks() []crash.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var dirty []crash.Fingerprint
	for fingerprint := range f.dirty {
		dirty = append(dirty, fingerprint)
	}
	return dirty
}

// store merges the mark into its row.
func (f *Filter) store(ctx context.Context, fingerprint crash.Fingerprint) error {
	key := tables.Key{Table: tableName, Row: string(fingerprint)}
	row, err := f.tables.Get(ctx, key)
	if err != nil && !errors.Is(err, tables.ErrNotFound) {
		return err
	}
	var stored crash.Mark
	if err == nil {
		_ = json.Unmarshal(row.Value, &stored)
	}
	merged := crash.Merge(f.mark(fingerprint), stored)
	f.merge([]crash.Mark{merged}, false)
	value, err := json.Marshal(merged)
	if err != nil {
		return err
	}
	return f.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: key, Version: row.Version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
}
