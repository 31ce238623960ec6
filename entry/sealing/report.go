package sealing

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/base/invariant"
	"flamingospar.org/core/usage"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
	"flamingospar.org/platform/usagestore"
)

// reportDue reports the sealed parts that come after the last acknowledged one.
func (s *Sealer) reportDue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	for ctx.Err() == nil {
		progress, version, err := usagestore.ReadProgress(ctx, s.tables)
		if err != nil || version == 0 {
			return err
		}
		parts, err := usagestore.SealedAfter(ctx, s.tables, progress.Reported, 1)
		if err != nil {
			return err
		}
		if len(parts) == 0 {
			return s.forget(ctx, progress)
		}
		if err := s.reportPart(ctx, parts[0]); err != nil {
			return err
		}
		progress.Reported = parts[0].Key.Row
		if err := s.putProgress(ctx, progress, version); err != nil {
			return err
		}
		s.observeLag(parts[0].Window)
	}
	return ctx.Err()
}

func (s *Sealer) reportPart(ctx context.Context, part usagestore.SealedRow) error {
	invariant.Check(part.Version == 1, invariant.WindowWrittenOnce, "row %s has version %d", part.Key.Row, part.Version)
	failures := make(chan error, len(part.Teams))
	slots := make(chan struct{}, s.config.AtOnce)
	var sending sync.WaitGroup
	for _, total := range part.Teams {
		slots <- struct{}{}
		sending.Add(1)
		go func() {
			defer sending.Done()
			defer func() { <-slots }()
			if err := s.reportTeam(ctx, part.Window, total); err != nil {
				failures <- err
			}
		}()
	}
	sending.Wait()
	close(failures)
	return <-failures
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

func (s *Sealer) putProgress(ctx context.Context, progress usagestore.Progress, version int64) error {
	condition, write, err := usagestore.PutProgress(progress, version)
	if err != nil {
		return err
	}
	return s.tables.Commit(ctx, tables.Txn{
		Conditions: []tables.Condition{s.lease.Guard(), condition},
		Writes:     []tables.Write{write},
	})
}

// observeLag records how long after its end a window was reported.
func (s *Sealer) observeLag(window usage.Window) {
	lag := time.Since(window.End(s.config.Window))
	s.meter.Observe(lag.Milliseconds(), "usage", "report_lag_millis")
	if lag > s.config.Window+2*s.config.Grace {
		s.meter.Count("usage", "reports_late")
	}
}

// forget deletes reported windows that were kept long enough.
func (s *Sealer) forget(ctx context.Context, progress usagestore.Progress) error {
	if progress.Sealed == s.forgotten {
		return nil
	}
	oldest := progress.Sealed - usage.Window(s.windows(s.config.Keep))
	parts, err := usagestore.SealedAfter(ctx, s.tables, "", deletesAtOnce)
	if err != nil {
		return err
	}
	var removal []tables.Write
	for _, part := range parts {
		if part.Window < oldest && part.Key.Row <= progress.Reported {
			removal = append(removal, tables.Write{Key: part.Key, Delete: true})
		}
	}
	if err := s.remove(ctx, removal); err != nil {
		return err
	}
	s.forgotten = progress.Sealed
	return nil
}
