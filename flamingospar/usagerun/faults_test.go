package usagerun

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"flamingospar.org/entry/sealing"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
	"flamingospar.org/platform/usagestore"
)

// callStore makes a call to the table service, which may be down or unreachable.
func (p *process) callStore(ctx context.Context, effect func() error) error {
	return p.callPlatform(ctx, func() error {
		if p.simulation.outage || p.partitioned {
			return errors.Join(tables.ErrUnavailable, errInjected)
		}
		return effect()
	})
}

// callPlatform makes a call to the platform with the current faults.
func (p *process) callPlatform(ctx context.Context, effect func() error) error {
	s := p.simulation
	if p.crashed {
		return errInjected
	}
	p.maybePause(ctx)
	p.crashed = s.chance(s.rates.crash)
	if p.crashed && s.chance(0.5) || s.chance(s.rates.loseRequest) {
		return errors.Join(tables.ErrUnavailable, errInjected)
	}
	err := effect()
	if p.crashed || s.chance(s.rates.loseResponse) {
		return errors.Join(tables.ErrUnavailable, errInjected)
	}
	p.maybePause(ctx)
	if ctx.Err() != nil {
		return errors.Join(tables.ErrUnavailable, ctx.Err())
	}
	return err
}

func (s *simulation) chance(p float64) bool { return s.random.Float64() < p }

// maybePause may pause the process inside a call while the others proceed.
func (p *process) maybePause(context.Context) {
	s := p.simulation
	if s.pausing || !s.chance(s.rates.pause) {
		return
	}
	for range 1 + s.random.IntN(8) {
		s.pauseWhileOthersStep(p, time.Duration(1+s.random.IntN(5))*time.Second)
	}
}

// pauseWhileOthersStep pauses p inside a call and then steps all other processes.
func (s *simulation) pauseWhileOthersStep(p *process, pause time.Duration) {
	if s.pausing {
		return
	}
	s.pausing = true
	p.paused = true
	time.Sleep(pause)
	s.step(context.Background())
	p.paused = false
	s.pausing = false
}

func (p *process) Get(ctx context.Context, key tables.Key) (row tables.Row, err error) {
	err = p.callStore(ctx, func() error {
		row, err = p.simulation.platform.Tables.Get(ctx, key)
		return err
	})
	return row, err
}

func (p *process) Scan(ctx context.Context, table, prefix, start string, limit int) (rows []tables.Row, err error) {
	err = p.callStore(ctx, func() error {
		rows, err = p.simulation.platform.Tables.Scan(ctx, table, prefix, start, limit)
		return err
	})
	return rows, err
}

// Commit also checks that only the lease holder changes the sealed table.
func (p *process) Commit(ctx context.Context, txn tables.Txn) error {
	return p.callStore(ctx, func() error {
		err := p.simulation.platform.Tables.Commit(ctx, txn)
		if err == nil && txn.Writes[0].Key.Table == usagestore.SealedTable {
			p.simulation.checkLeaseHeld(p)
		}
		return err
	})
}

// checkLeaseHeld counts a write to the sealed table by a process that
// doesn't hold the lease.
func (s *simulation) checkLeaseHeld(p *process) {
	row, err := s.platform.Tables.Get(context.Background(), tables.Key{Table: "leases", Row: "usage"})
	if err != nil || !strings.Contains(string(row.Value), strconv.Quote(p.id)) {
		s.leaselessWrites++
	}
}

// reporter sends reports like a guarded connection: the lease term is checked
// before the write, and the receiver drops a report that arrives idleClose or
// more after that check.
type reporter struct{ e *entry }

func (r reporter) Report(ctx context.Context, report usagereport.Report) error {
	if err := sealing.CheckReportAllowed(r.e.keeper, idleClose); err != nil {
		return err
	}
	checked := time.Now()
	if s := r.e.simulation; s.chance(s.rates.slowReport) {
		s.pauseWhileOthersStep(r.e.process, time.Duration(s.random.Int64N(int64(idleClose))))
	}
	return r.e.callPlatform(ctx, func() error {
		if time.Since(checked) >= idleClose {
			return errInjected
		}
		if report.Team == r.e.simulation.refusedTeam {
			return usagereport.ErrRefused
		}
		return r.e.simulation.platform.Report(ctx, report)
	})
}
