// Package sealing seals and reports usage windows. The holder of the usage lease
// runs it. The figures of each closed window are sealed once, in one transaction
// guarded by the lease's epoch. Only then are they reported, and a repeated report
// carries the same figures until the platform acknowledges it.
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

// ErrTermEnded means that this process may not report any more.
var ErrTermEnded = errors.New("sealing: the term of the usage lease has ended or is about to end; remedy: none needed, the next holder continues")

// Lease is the usage lease.
type Lease interface {
	Held() (lease.Term, bool)
	Guard() tables.Condition
}

// Config holds the parameters of a Sealer.
type Config struct {
	Window time.Duration // Length of a window.
	Grace  time.Duration // Time for writers after a window's end and after a store outage.
	// IdleClose is the time after which the receiver of reports closes an idle
	// connection.
	IdleClose time.Duration
	// RecordRetention is how long counted records are remembered to detect
	// duplicates. Records older than this are not counted.
	RecordRetention time.Duration
	// SealedRetention is how long reported windows are kept in the table service.
	SealedRetention time.Duration
	// MaxConcurrentReports is the maximum number of reports in flight.
	MaxConcurrentReports int
}

// DefaultMaxConcurrentReports allows several hundred reports per second.
const DefaultMaxConcurrentReports = 8

// Sealer seals and reports usage windows. It is not safe for concurrent use.
type Sealer struct {
	tables  tables.Service
	reports usagereport.Reporter
	lease   Lease
	config  Config
	meter   *meter.Registry

	storeAvailableSince time.Time // Since when sealing has not failed; zero after a failure or in a new term.
	epoch               lease.Epoch
	lastSealed          usage.Window
	// maintainedAt is the newest sealed window at the last maintenance.
	maintainedAt usage.Window
}

// New returns a Sealer.
func New(service tables.Service, reports usagereport.Reporter, l Lease, config Config, registry *meter.Registry) *Sealer {
	return &Sealer{tables: service, reports: reports, lease: l, config: config, meter: registry}
}

// CheckReportAllowed returns nil if a report may be sent now: the term lasts at
// least idleClose longer, so that the report reaches the receiver before the term
// ends or not at all.
func CheckReportAllowed(l Lease, idleClose time.Duration) error {
	term, held := l.Held()
	if !held || !term.Valid(time.Now().Add(idleClose)) {
		return ErrTermEnded
	}
	return nil
}

// Run calls Step at a fixed interval until ctx ends.
func (s *Sealer) Run(ctx context.Context) {
	clock.Every(ctx, checkInterval, func() { s.Step(ctx) })
}

// Step seals the windows that are due and reports the sealed ones, if this process
// holds the lease. Reporting does not depend on the success of sealing.
func (s *Sealer) Step(ctx context.Context) {
	term, held := s.lease.Held()
	if !held {
		s.storeAvailableSince = time.Time{}
		return
	}
	if term.Row.Epoch != s.epoch {
		s.epoch = term.Row.Epoch
		s.storeAvailableSince = time.Time{}
	}
	if err := s.sealDue(ctx); err != nil {
		s.storeAvailableSince = time.Time{}
		s.meter.Count("usage", "seal_failed")
		log.Error(err, "A window could not be sealed; the next step retries.")
	}
	if err := s.reportDue(ctx); err != nil {
		s.meter.Count("usage", "report_failed")
		log.Error(err, "A window could not be reported; it is retried with the same figures.")
	}
}

// graceElapsed reports whether the grace period has passed since the store became
// available, so that writers have stored what they held through an outage.
func (s *Sealer) graceElapsed(now time.Time) bool {
	if s.storeAvailableSince.IsZero() {
		s.storeAvailableSince = now
	}
	return now.Sub(s.storeAvailableSince) >= s.config.Grace
}

func (s *Sealer) newestClosed(now time.Time) usage.Window {
	return usage.WindowAt(now.Add(-s.config.Grace), s.config.Window) - 1
}

func (s *Sealer) windowCount(span time.Duration) int64 { return int64(span / s.config.Window) }
