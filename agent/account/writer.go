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
	writeInterval = 5 * time.Second
	writeTimeout  = 3 * time.Second
	lastTries     = 5
)

var log = logging.For("agent/account")

// Writer is the duty that writes the records which no entry has shown durable.
type Writer struct {
	ledger *Ledger
	writer *usagestore.Writer
	hold   time.Duration
	meter  *meter.Registry
}

// NewWriter returns the duty. hold is how long an entry has to acknowledge.
func NewWriter(ledger *Ledger, service tables.Service, hold time.Duration, registry *meter.Registry) *Writer {
	return &Writer{ledger: ledger, writer: usagestore.NewWriter(service, ledger.source), hold: hold, meter: registry}
}

// Run writes what is overdue until ctx ends, then all that is held.
func (w *Writer) Run(ctx context.Context) {
	clock.Every(ctx, writeInterval, func() { w.Step(ctx, time.Now()) })
	w.finish(context.WithoutCancel(ctx))
}

// Step writes the records that are overdue at now.
func (w *Writer) Step(ctx context.Context, now time.Time) {
	w.writer.Add(w.ledger.overdue(now.Add(-w.hold))...)
	w.meter.Gauge(int64(w.ledger.Held()), "usage", "held")
	if w.writer.PendingCount() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	durable, err := w.writer.Flush(ctx)
	w.ledger.written(durable)
	w.meter.Add(int64(len(durable)), "usage", "records_written")
	if err != nil {
		w.meter.Count("usage", "write_failed")
		log.Error(err, "Usage records could not be written; they are kept.", "records", w.writer.PendingCount())
	}
}

// finish writes all that is held before the process exits.
func (w *Writer) finish(ctx context.Context) {
	for range lastTries {
		w.Step(ctx, time.Now().Add(w.hold))
		if w.ledger.Held() == 0 {
			return
		}
		time.Sleep(writeInterval)
	}
	log.Error(nil, "Usage records are lost with this process unless an entry wrote them.", "records", w.ledger.Held())
}
