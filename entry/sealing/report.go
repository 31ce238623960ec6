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

// refusedAtOnce bounds how many refused reports are tried in one step.
const refusedAtOnce = 50

// reportDue reports the sealed parts that come after the last acknowledged one.
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
			return s.afterReports(ctx, progress)
		}
		refused, err := s.reportPart(ctx, parts[0])
		if err != nil {
			return err
		}
		progress.ReportedRow = parts[0].Key.Row
		if err := s.putProgress(ctx, progress, version, parts[0].Window, refused); err != nil {
			return err
		}
		s.observeLag(parts[0].Window)
	}
	return ctx.Err()
}

// reportPart reports the teams of a part. What the platform refuses for good
// does not hold the others back: it is returned, to be kept and tried again.
func (s *Sealer) reportPart(ctx context.Context, part usagestore.SealedRow) ([]usage.TeamTotal, error) {
	invariant.Check(part.Version == 1, invariant.WindowWrittenOnce, "row %s has version %d", part.Key.Row, part.Version)
	results := make([]error, len(part.Teams))
	slots := make(chan struct{}, s.config.AtOnce)
	var sending sync.WaitGroup
	for i, total := range part.Teams {
		slots <- struct{}{}
		sending.Add(1)
		go func() {
			defer sending.Done()
			defer func() { <-slots }()
			results[i] = s.reportTeam(ctx, part.Window, total)
		}()
	}
	sending.Wait()
	var refused []usage.TeamTotal
	for i, err := range results {
		switch {
		case errors.Is(err, usagereport.ErrRefused):
			log.Error(err, "A report was refused; it is kept and tried again.", "team", part.Teams[i].Team, "window", part.Window)
			refused = append(refused, part.Teams[i])
		case err != nil:
			return nil, err
		}
	}
	return refused, nil
}

// reportRefused tries the refused reports again.
func (s *Sealer) reportRefused(ctx context.Context) error {
	rows, err := usagestore.ReadRefusedReports(ctx, s.tables, refusedAtOnce)
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
		if err := s.remove(ctx, []tables.Write{{Key: row.Key, Delete: true}}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Sealer) reportTeam(ctx context.Context, window usage.Window, total usage.TeamTotal) error {
	if err := MayReport(s.lease, s.config.IdleClose); err != nil {
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

func (s *Sealer) putProgress(ctx context.Context, progress usagestore.Progress, version int64, window usage.Window, refused []usage.TeamTotal) error {
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

// observeLag records how long after its end a window was reported.
func (s *Sealer) observeLag(window usage.Window) {
	lag := time.Since(window.End(s.config.Window))
	s.meter.Observe(lag.Milliseconds(), "usage", "report_lag_millis")
	if lag > s.config.Window+2*s.config.Grace {
		s.meter.Count("usage", "reports_late")
	}
}

// afterReports does, once a window, what is not urgent: it tries refused
// reports again and deletes reported windows that were kept long enough.
func (s *Sealer) afterReports(ctx context.Context, progress usagestore.Progress) error {
	if progress.SealedWindow == s.forgotten {
		return nil
	}
	oldest := progress.SealedWindow - usage.Window(s.windows(s.config.Keep))
	parts, err := usagestore.ReadSealedAfter(ctx, s.tables, "", deletesAtOnce)
	if err != nil {
		return err
	}
	var removal []tables.Write
	for _, part := range parts {
		if part.Window < oldest && part.Key.Row <= progress.ReportedRow {
			removal = append(removal, tables.Write{Key: part.Key, Delete: true})
		}
	}
	if err := s.remove(ctx, removal); err != nil {
		return err
	}
	s.forgotten = progress.SealedWindow
	return s.reportRefused(ctx)
}
