package streamversions

import (
	"context"
	"errors"
	"strings"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/platform/site"
)

// maxCopyAge is the age of a copy up to which changes are read. It is longer than
// recheckInterval, and shorter than the time for which stores usually keep changes.
const maxCopyAge = 15 * time.Second

// errCopyUnusable means that no copy can be brought up to date by changes.
var errCopyUnusable = errors.New("no copy of the table to which changes could be applied; remedy: read the whole table")

// needsWholeRead reports whether a read of changes failed in such a way that a read of the
// whole table may succeed.
func needsWholeRead(err error) bool {
	return errors.Is(err, errCopyUnusable) || errors.Is(err, site.ErrHistoryGone) || errors.Is(err, site.ErrAnswerTooLarge) || errors.Is(err, site.ErrRestored)
}

// readChanges applies the changes after the version of the copy. It applies all or none: an
// answer may hold only the first of them, and a copy with some of them would match the table at
// no time.
func (t *Tracker) readChanges(ctx context.Context) error {
	era, version, ok := t.copyVersion()
	if !ok {
		return errCopyUnusable
	}
	var rows []site.Row
	for {
		requestedAt := clock.Now()
		page, err := t.changesAfter(ctx, version)
		if err != nil {
			return err
		}
		partial := page.MayLackChanges()
		if page.Era != era || page.Version < version || partial && page.Version == version {
			return errCopyUnusable
		}
		rows, version = append(rows, page.Rows...), page.Version
		if !partial {
			page.Rows = rows
			t.applyChanges(page, requestedAt)
			return nil
		}
	}
}

// copyVersion returns the era and the version of the copy, and false if it can't be brought up
// to date by changes.
func (t *Tracker) copyVersion() (era, version int64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &t.table
	ok = c.loaded && !c.changesFailed && c.era == t.store.Era() && clock.Now().Sub(c.requestedAt) <= maxCopyAge
	return c.era, c.version, ok
}

func (t *Tracker) changesAfter(ctx context.Context, version int64) (site.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return t.store.Feed(ctx, Table, version, 0)
}

func (t *Tracker) applyChanges(page site.Page, requestedAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.applyChanges(page, requestedAt)
	t.reconcile()
}

// applyChanges applies all changes from the version of the copy to that of page, in their
// order. The last call for them was sent at requestedAt.
func (c *tableCopy) applyChanges(page site.Page, requestedAt time.Time) {
	c.version, c.requestedAt = page.Version, requestedAt
	c.observeClock(page, requestedAt)
	for _, row := range page.Rows {
		if row.Deleted {
			c.deleteRow(row)
		} else {
			c.applyRow(row)
		}
	}
	for service, r := range c.registers {
		if r.rowVersion <= page.Version && r.askedAt.Before(requestedAt) {
			r.askedAt = requestedAt // It has not changed since.
			c.registers[service] = r
		}
	}
}

func (c *tableCopy) deleteRow(row site.Row) {
	delete(c.segments, row.Key)
	service, isRegister := strings.CutPrefix(row.Key, registerPrefix)
	if isRegister && c.registers[service].rowVersion <= row.Version {
		delete(c.registers, service)
	}
}
