// Package sealing is the duty of the usage lease's holder: it seals the figures
// of each closed window once and reports them to the platform.
package sealing

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/account"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
)

const (
	sealedTable   = "sealed"
	progressRow   = "progress"
	checkInterval = 1 * time.Second
	callTimeout   = 10 * time.Second
	maxBatches    = 100_000
)

var log = logging.For("entry/sealing")

// Lease tells whether this process holds the usage lease.
type Lease interface {
	Held() (lease.Term, bool)
	Guard() tables.Condition
}

// Sealer is the duty.
type Sealer struct {
	tables  tables.Service
	reports usagereport.Reports
	lease   Lease
	window  time.Duration
	grace   time.Duration
}

// New returns the duty. grace is how long after a window's end writers may
// still add to it.
func New(service tables.Service, reports usagereport.Reports, l Lease, window, grace time.Duration) *Sealer {
	return &Sealer{tables: service, reports: reports, lease: l, window: window, grace: grace}
}

// sealed is the stored result of one window.
type sealed struct {
	Window usage.Window             `json:"window"`
	Teams  map[string]usage.Figures `json:"teams"`
}

// progress is the last window that was sealed and reported.
type progress struct {
	Reported usage.Window `json:"reported"`
}

// Run seals and reports until ctx ends.
func (s *Sealer) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if _, held := s.lease.Held(); !held {
			continue
		}
		if err := s.Step(ctx); err != nil {
			log.Error(err, "A window could not be sealed or reported; it is tried again.")
		}
	}
}

// Step handles the next closed window, if there is one.
func (s *Sealer) Step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := time.Now()
	newest := usage.WindowAt(now.Add(-s.grace), s.window) - 1
	done, version, err := s.readProgress(ctx)
	if err != nil {
		return err
	}
	if version == 0 {
		return s.writeProgress(ctx, newest-1, 0)
	}
	if done.Reported >= newest {
		return nil
	}
	window := done.Reported + 1
	figures, err := s.seal(ctx, window)
	if err != nil {
		return err
	}
	if err := s.report(ctx, figures); err != nil {
		return err
	}
	return s.writeProgress(ctx, window, version)
}

// seal returns the window's sealed figures, writing them if nobody has.
func (s *Sealer) seal(ctx context.Context, window usage.Window) (sealed, error) {
	key := tables.Key{Table: sealedTable, Row: fmt.Sprintf("window/%012d", window)}
	row, err := s.tables.Get(ctx, key)
	if err == nil {
		var figures sealed
		return figures, json.Unmarshal(row.Value, &figures)
	}
	if !errors.Is(err, tables.ErrNotFound) {
		return sealed{}, err
	}
	figures, err := s.add(ctx, window)
	if err != nil {
		return sealed{}, err
	}
	value, err := json.Marshal(figures)
	if err != nil {
		return sealed{}, err
	}
	return figures, s.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{s.lease.Guard(), {Key: key}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
}

func (s *Sealer) add(ctx context.Context, window usage.Window) (sealed, error) {
	prefix := account.WindowPrefix(window)
	rows, err := s.tables.Scan(ctx, account.TableName, prefix, prefix, maxBatches)
	if err != nil {
		return sealed{}, err
	}
	batches := make([]usage.Batch, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &batches[i]); err != nil {
			return sealed{}, err
		}
	}
	return sealed{Window: window, Teams: usage.Sum(batches)}, nil
}

func (s *Sealer) report(ctx context.Context, figures sealed) error {
	for team, sum := range figures.Teams {
		term, held := s.lease.Held()
		if !held {
			return errors.New("sealing: the term ended; remedy: the next holder goes on")
		}
		report := usagereport.Report{Team: team, Window: figures.Window, Figures: sum, Epoch: int64(term.Row.Epoch), Holder: term.Row.Holder}
		if err := s.reports.Report(ctx, report); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sealer) readProgress(ctx context.Context) (progress, int64, error) {
	row, err := s.tables.Get(ctx, tables.Key{Table: sealedTable, Row: progressRow})
	if errors.Is(err, tables.ErrNotFound) {
		return progress{}, 0, nil
	}
	if err != nil {
		return progress{}, 0, err
	}
	var done progress
	return done, row.Version, json.Unmarshal(row.Value, &done)
}

func (s *Sealer) writeProgress(ctx context.Context, window usage.Window, version int64) error {
	value, err := json.Marshal(progress{Reported: window})
	if err != nil {
		return err
	}
	key := tables.Key{Table: sealedTable, Row: progressRow}
	return s.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{s.lease.Guard(), {Key: key, Version: version}},
		Writes:     []tables.Write{{Key: key, Value: value}},
	})
}
