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

// store passes one call to the table service, which may be down or cut off.
func (p *process) store(ctx context.Context, effect func() error) error {
	return p.call(ctx, func() error {
		if p.world.outage || p.cut {
			return errors.Join(tables.ErrUnavailable, errInjected)
		}
		return effect()
	})
}

// call passes one call to the platform with the faults in force.
func (p *process) call(ctx context.Context, effect func() error) error {
	w := p.world
	if p.dead {
		return errInjected
	}
	p.maybePause(ctx)
	p.dead = w.chance(w.odds.die)
	if p.dead && w.chance(0.5) || w.chance(w.odds.loseCall) {
		return errors.Join(tables.ErrUnavailable, errInjected)
	}
	err := effect()
	if p.dead || w.chance(w.odds.loseAnswer) {
		return errors.Join(tables.ErrUnavailable, errInjected)
	}
	p.maybePause(ctx)
	if ctx.Err() != nil {
		return errors.Join(tables.ErrUnavailable, ctx.Err())
	}
	return err
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// maybePause stops the process inside a call while all others go on.
func (p *process) maybePause(context.Context) {
	w := p.world
	if w.pausing || !w.chance(w.odds.pause) {
		return
	}
	for range 1 + w.random.IntN(8) {
		w.others(p, time.Duration(1+w.random.IntN(5))*time.Second)
	}
}

// others stops a process for a time, after which all others step.
func (w *world) others(p *process, pause time.Duration) {
	if w.pausing {
		return
	}
	w.pausing = true
	p.busy = true
	time.Sleep(pause)
	w.step(context.Background())
	p.busy = false
	w.pausing = false
}

// Get implements tables.Service.
func (p *process) Get(ctx context.Context, key tables.Key) (row tables.Row, err error) {
	err = p.store(ctx, func() error {
		row, err = p.world.platform.Tables.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements tables.Service.
func (p *process) Scan(ctx context.Context, table, prefix, start string, limit int) (rows []tables.Row, err error) {
	err = p.store(ctx, func() error {
		rows, err = p.world.platform.Tables.Scan(ctx, table, prefix, start, limit)
		return err
	})
	return rows, err
}

// Commit implements tables.Service. Only the holder of the lease changes what
// is sealed.
func (p *process) Commit(ctx context.Context, txn tables.Txn) error {
	return p.store(ctx, func() error {
		err := p.world.platform.Tables.Commit(ctx, txn)
		if err == nil && txn.Writes[0].Key.Table == usagestore.SealedTable {
			p.world.checkHolder(p)
		}
		return err
	})
}

// checkHolder notes a change of what is sealed by a process without the lease.
func (w *world) checkHolder(p *process) {
	row, err := w.platform.Tables.Get(context.Background(), tables.Key{Table: "leases", Row: "usage"})
	if err != nil || !strings.Contains(string(row.Value), strconv.Quote(p.id)) {
		w.intruders++
	}
}

// reporter sends reports as the guarded connection does: the term is checked
// when the bytes leave, and the receiver drops what comes after its idle time.
type reporter struct{ e *entry }

// Report implements usagereport.Reports.
func (r reporter) Report(ctx context.Context, report usagereport.Report) error {
	if err := sealing.CheckReportAllowed(r.e.keeper, idleClose); err != nil {
		return err
	}
	checked := time.Now()
	if w := r.e.world; w.chance(w.odds.slowReport) {
		w.others(r.e.process, time.Duration(w.random.Int64N(int64(idleClose))))
	}
	return r.e.call(ctx, func() error {
		if time.Since(checked) >= idleClose {
			return errInjected
		}
		if report.Team == r.e.world.refuse {
			return usagereport.ErrRefused
		}
		return r.e.world.platform.Report(ctx, report)
	})
}
