// Package account makes usage durable: a filter hands each finished run to a
// ring, and a duty writes batches to the table service.
package account

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/ring"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/platform/tables"
)

// TableName is the table of batches.
const TableName = "usage"

const (
	ringSize     = 65536
	flushTimeout = 3 * time.Second
)

var log = logging.For("entry/account")

// RowName returns the row of a batch. Rows of one window share a prefix.
func RowName(window usage.Window, instance string, sequence int64) string {
	return WindowPrefix(window) + fmt.Sprintf("%s/%012d", instance, sequence)
}

// WindowPrefix returns the prefix of the rows of a window.
func WindowPrefix(window usage.Window) string {
	return fmt.Sprintf("batch/%012d/", window)
}

// Filter counts what was served.
type Filter struct {
	records *ring.Ring[usage.Record]
	counter pipeline.Counter
}

// NewRing returns the ring between the filter and the writer.
func NewRing() *ring.Ring[usage.Record] { return ring.New[usage.Record](ringSize) }

// NewFilter returns the account filter.
func NewFilter(records *ring.Ring[usage.Record], counter pipeline.Counter) *Filter {
	return &Filter{records: records, counter: counter}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "account" }

// Request implements pipeline.Filter.
func (f *Filter) Request(context.Context, *pipeline.Exchange) *refusal.Refusal { return nil }

// Response implements pipeline.Filter.
func (f *Filter) Response(_ context.Context, x *pipeline.Exchange) {
	if x.Outcome != refusal.Ran || x.Team == "" {
		return
	}
	if !f.records.Offer(usage.Record{RunID: x.ID, Team: x.Team, Figures: x.Figures}) {
		f.counter.Count("usage_ring_full")
	}
}

// Writer is the duty that writes batches.
type Writer struct {
	tables   tables.Service
	records  *ring.Ring[usage.Record]
	instance string
	window   time.Duration
	every    time.Duration

	sequence int64
	pending  []usage.Record
}

// NewWriter returns the duty for the process instance. window is the length of
// usage windows, every the time between batches.
func NewWriter(service tables.Service, records *ring.Ring[usage.Record], instance string, window, every time.Duration) *Writer {
	return &Writer{tables: service, records: records, instance: instance, window: window, every: every}
}

// Run writes batches until ctx ends, then once more.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(w.every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.Flush(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			w.Flush(ctx)
		}
	}
}

// Flush writes what has gathered as one batch. After a failure the same batch
// is written again under the same sequence, so that none is lost or doubled.
func (w *Writer) Flush(ctx context.Context) {
	w.pending = append(w.pending, w.records.Drain()...)
	if len(w.pending) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	batch := usage.Batch{
		Instance: w.instance,
		Sequence: w.sequence,
		Window:   usage.WindowAt(time.Now(), w.window),
		Records:  w.pending,
	}
	if err := w.write(ctx, batch); err != nil {
		log.Error(err, "A usage batch could not be written; it is kept.", "records", len(w.pending))
		return
	}
	w.sequence++
	w.pending = nil
}

func (w *Writer) write(ctx context.Context, batch usage.Batch) error {
	value, err := json.Marshal(batch)
	if err != nil {
		return err
	}
	key := tables.Key{Table: TableName, Row: RowName(batch.Window, batch.Instance, batch.Sequence)}
	return w.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{{Key: key}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
}
