// Package sealing is the duty of the usage lease's holder: it seals the figures
// of each closed window once, in one transaction under the lease's epoch, and
// only then reports them, with the same figures until they are acknowledged.
package sealing

import (
	"context"
	"errors"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/usage"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
)

const (
	checkInterval = 1 * time.Second
	sealTimeout   = 30 * time.Second
	reportTimeout = 10 * time.Second
)

var log = logging.For("entry/sealing")

// ErrTermEnded means that this process may no longer report.
var ErrTermEnded = errors.New("sealing: the usage lease's term ends or ended; remedy: the next holder goes on")

// Lease tells whether this process holds the usage lease.
type Lease interface {
	Held() (lease.Term, bool)
	Guard() tables.Condition
}

// Config sets the times of the duty.
type Config struct {
	Window time.Duration // Length of a window.
	Grace  time.Duration // After a window's end, and after an outage, for writers.
	// IdleClose is after how long of silence the receiver of reports closes a
	// connection.
	IdleClose time.Duration
	// Remember is for how long counted records are known, and the oldest age
	// of a record that is still counted.
	Remember time.Duration
	// Keep is how long reported windows stay in the table service.
	Keep time.Duration
	// AtOnce is how many reports are on their way together.
	AtOnce int
}

// DefaultAtOnce carries several hundred reports a second.
const DefaultAtOnce = 8

// Sealer is the duty. One goroutine uses it.
type Sealer struct {
	tables  tables.Service
	reports usagereport.Reporter
	lease   Lease
	config  Config
	meter   *meter.Registry

	answering time.Time // Since when the store answers without a failure.
	epoch     lease.Epoch
	lastSeal  usage.Window
	// forgotten is the newest sealed window after which old ones were deleted.
	forgotten usage.Window
}

// New returns the duty.
func New(service tables.Service, reports usagereport.Reporter, l Lease, config Config, registry *meter.Registry) *Sealer {
	return &Sealer{tables: service, reports: reports, lease: l, config: config, meter: registry}
}

// MayReport returns nil while a report may leave: what leaves now reaches the
// receiver before the term ends, or not at all.
func MayReport(l Lease, idleClose time.Duration) error {
	term, held := l.Held()
	if !held || !term.Valid(time.Now().Add(idleClose)) {
		return ErrTermEnded
	}
	return nil
}

// Run seals and reports until ctx ends.
func (s *Sealer) Run(ctx context.Context) {
	clock.Every(ctx, checkInterval, func() { s.Step(ctx) })
}

// Step seals what is due and reports what is sealed, if this process holds the
// lease. A failure of the one does not keep the other back.
func (s *Sealer) Step(ctx context.Context) {
	term, held := s.lease.Held()
	if !held {
		s.answering = time.Time{}
		return
	}
	if term.Row.Epoch != s.epoch {
		s.epoch = term.Row.Epoch
		s.answering = time.Time{}
	}
	if err := s.sealDue(ctx); err != nil {
		s.answering = time.Time{}
		s.meter.Count("usage", "seal_failed")
		log.Error(err, "A window could not be sealed; it is tried again.")
	}
	if err := s.reportDue(ctx); err != nil {
		s.meter.Count("usage", "report_failed")
		log.Error(err, "A window could not be reported; it is repeated with the same figures.")
	}
}

// settled reports whether writers had their grace since the store answers, so
// that what they held through an outage is in the table.
func (s *Sealer) settled(now time.Time) bool {
	if s.answering.IsZero() {
		s.answering = now
	}
	return now.Sub(s.answering) >= s.config.Grace
}

func (s *Sealer) newest(now time.Time) usage.Window {
	return usage.WindowAt(now.Add(-s.config.Grace), s.config.Window) - 1
}

func (s *Sealer) windows(span time.Duration) int64 { return int64(span / s.config.Window) }
