package sealing

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"flamingospar.org/base/invariant"
	"flamingospar.org/core/usage"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
	"flamingospar.org/platform/usagestore"
)

// maxRefusedPerStep is the maximum number of refused reports retried at a time.
const maxRefusedPerStep = 50

// reportDue reports the sealed parts after the last reported one, in order.
func (s *Sealer) reportDue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for ctx.Err() == nil {
		progress, version, err := usagestore.ReadProgress(ctx, s.tables)
		if err != nil || version == 0 {
			return err
		}
		parts, err := usagestore.ReadSealedAfter(ctx, s.tables, progress.ReportedRow, 1)
		if err != nil {
			return err
		}
		if len(parts) == 0 {
			return s.runMaintenance(ctx, progress)
		}
		refused, err := s.reportPart(ctx, parts[0])
		if err != nil {
			return err
		}
		progress.ReportedRow = parts[0].Key.Row
		if err := s.writeProgress(ctx, progress, version, parts[0].Window, refused); err != nil {
			return err
		}
		s.observeLag(parts[0].Window)
	}
	return ctx.Err()
}

// reportPart reports the teams of a part. Reports that the platform refuses
// permanently do not delay the others: they are returned, to be stored and retried
// later.
func (s *Sealer) reportPart(ctx context.Context, part usagestore.SealedRow) ([]usage.TeamTotal, error) {
	invariant.Check(part.Version == 1, invariant.WindowWrittenOnce, "row %s has version %d", part.Key.Row, part.Version)
	results := make([]error, len(part.Teams))
	slots := make(chan struct{}, s.config.MaxConcurrentReports)
	var wg sync.WaitGroup
	for i, total := range part.Teams {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			results[i] = s.reportTeam(ctx, part.Window, total)
		}()
	}
	wg.Wait()
	var refused []usage.TeamTotal
	for i, err := range results {
		switch {
		case errors.Is(err, usagereport.ErrRefused):
			log.Error(err, "A report was refused; it is stored and retried later.", "team", part.Teams[i].Team, "window", part.Window)
			refused = append(refused, part.Teams[i])
		case err != nil:
			return nil, err
		}
	}
	return refused, nil
}

// retryRefused sends the refused reports again and deletes those that the platform
// accepts.
func (s *Sealer) retryRefused(ctx context.Context) error {
	rows, err := usagestore.ReadRefusedReports(ctx, s.tables, maxRefusedPerStep)
	if err != nil {
		return err
	}
	s.meter.Gauge(int64(len(rows)), "usage", "reports_refused")
	for _, row := range rows {
		for _, total := range row.Teams {
			if err := s.reportTeam(ctx, row.Window, total); err != nil {
				return err
			}
		}
		if err := s.removeRows(ctx, []tables.Write{{Key: row.Key, Delete: true}}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sealer) reportTeam(ctx context.Context, window usage.Window, total usage.TeamTotal) error {
	if err := CheckReportAllowed(s.lease, s.config.IdleClose); err != nil {
		return err
	}
	term, held := s.lease.Held()
	if !held || term.Row.Epoch != s.epoch {
		return ErrTermEnded
	}
	err := s.reports.Report(ctx, usagereport.Report{
		Team:    total.Team,
		Window:  window,
		Figures: total.Figures,
		Epoch:   int64(term.Row.Epoch),
		Holder:  term.Row.Holder,
	})
	if err == nil {
		s.meter.Count("usage", "reports_acknowledged")
	}
	return err
}

func (s *Sealer) writeProgress(ctx context.Context, progress usagestore.Progress, version int64, window usage.Window, refused []usage.TeamTotal) error {
	condition, write, err := usagestore.ProgressUpdate(progress, version)
	if err != nil {
		return err
	}
	txn := tables.Txn{
		Conditions: []tables.Condition{s.lease.Guard(), condition},
		Writes:     []tables.Write{write},
	}
	for _, total := range refused {
		value, err := json.Marshal(usagestore.SealedPart{Window: window, Teams: []usage.TeamTotal{total}})
		if err != nil {
			return err
		}
		txn.Writes = append(txn.Writes, tables.Write{Key: usagestore.RefusedReportKey(window, total.Team), Value: value})
	}
	return s.tables.Commit(ctx, txn)
}

// observeLag records the time from the end of a window to its report.
func (s *Sealer) observeLag(window usage.Window) {
	lag := time.Since(window.End(s.config.Window))
	s.meter.Observe(lag.Milliseconds(), "usage", "report_lag_millis")
	if lag > s.config.Window+2*s.config.Grace {
		s.meter.Count("usage", "reports_late")
	}
}

// runMaintenance deletes reported windows older than SealedRetention and retries
// refused reports. It runs at most once for each newly sealed window, when no
// report is due.
func (s *Sealer) runMaintenance(ctx context.Context, progress usagestore.Progress) error {
	if progress.SealedWindow == s.maintainedAt {
		return nil
	}
	oldestKept := progress.SealedWindow - usage.Window(s.windowCount(s.config.SealedRetention))
	parts, err := usagestore.ReadSealedAfter(ctx, s.tables, "", deleteBatchSize)
	if err != nil {
		return err
	}
	var removal []tables.Write
	for _, part := range parts {
		if part.Window < oldestKept && part.Key.Row <= progress.ReportedRow {
			removal = append(removal, tables.Write{Key: part.Key, Delete: true})
		}
	}
	if err := s.removeRows(ctx, removal); err != nil {
		return err
	}
	s.maintainedAt = progress.SealedWindow
	return s.retryRefused(ctx)
}
