package account

import (
	"context"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagestore"
)

const (
	writeInterval      = 5 * time.Second
	writeTimeout       = 3 * time.Second
	finalFlushAttempts = 5
)

var log = logging.For("agent/account")

// Writer is the background task that writes records which no entry has
// acknowledged.
type Writer struct {
	ledger     *Ledger
	writer     *usagestore.Writer
	ackTimeout time.Duration
	meter      *meter.Registry
}

// NewWriter returns a writer for the records of ledger. ackTimeout is how long
// entries have to acknowledge a record.
func NewWriter(ledger *Ledger, service tables.Service, ackTimeout time.Duration, registry *meter.Registry) *Writer {
	return &Writer{ledger: ledger, writer: usagestore.NewWriter(service, ledger.source), ackTimeout: ackTimeout, meter: registry}
}

// Run writes overdue records until ctx ends, then all remaining records.
func (w *Writer) Run(ctx context.Context) {
	clock.Every(ctx, writeInterval, func() { w.Step(ctx, time.Now()) })
	w.flushAll(context.WithoutCancel(ctx))
}

// Step writes the records that are overdue at now.
func (w *Writer) Step(ctx context.Context, now time.Time) {
	w.writer.Add(w.ledger.takeOverdue(now.Add(-w.ackTimeout))...)
	w.meter.Gauge(int64(w.ledger.Held()), "usage", "held")
	if w.writer.PendingCount() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	durable, err := w.writer.Flush(ctx)
	w.ledger.dropWritten(durable)
	w.meter.Add(int64(len(durable)), "usage", "records_written")
	if err != nil {
		w.meter.Count("usage", "write_failed")
		log.Error(err, "Usage records could not be written and are kept for the next attempt.", "records", w.writer.PendingCount())
	}
}

// flushAll writes all remaining records before the process exits.
func (w *Writer) flushAll(ctx context.Context) {
	for range finalFlushAttempts {
		w.Step(ctx, time.Now().Add(w.ackTimeout))
		if w.ledger.Held() == 0 {
			return
		}
		time.Sleep(writeInterval)
	}
	log.Error(nil, "The process exits with unwritten usage records; they are lost unless an entry wrote them.", "records", w.ledger.Held())
}
