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
	tableName         = "crashes"
	sendTimeout       = 200 * time.Millisecond
	exchangeInterval  = 2 * time.Second
	tableReadInterval = 10 * time.Second
	callTimeout       = 2 * time.Second
	maxRows           = crash.MaxMarks
)

// Run propagates and stores marks until ctx is done.
func (f *Filter) Run(ctx context.Context) {
	exchangeTicker := time.NewTicker(exchangeInterval)
	defer exchangeTicker.Stop()
	readTicker := time.NewTicker(tableReadInterval)
	defer readTicker.Stop()
	f.readTable(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-exchangeTicker.C:
			f.exchange(ctx)
			f.writeDirty(ctx)
		case <-readTicker.C:
			f.readTable(ctx)
		}
	}
}

// exchange synchronizes marks with one agent.
func (f *Filter) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.mu.Lock()
	f.markSet.RemoveExpired(time.Now())
	own := f.markSet.All()
	f.mu.Unlock()
	received, err := f.peers.ExchangeWithOne(ctx, own)
	if err != nil {
		return
	}
	f.merge(received, false)
}

// readTable merges the stored marks, with those of other entries and the clears by
// operators, and removes expired rows.
func (f *Filter) readTable(ctx context.Context) {
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

// writeDirty stores the marks that changed at this entry. A mark that could not be
// stored stays dirty and is retried at the next call.
func (f *Filter) writeDirty(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, fingerprint := range f.dirtyMarks() {
		if err := f.store(ctx, fingerprint); err != nil {
			log.Error(err, "A crash mark could not be stored; the write will be retried.")
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

// store merges the mark with its row and writes the result.
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
