package streamversions

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/streamversion"
	"flamingospar.org/platform/site"
)

// Times and limits of what is written.
const (
	// minInterval is the least time between two writes of streams, and intervalPerProcess
	// makes it longer in a large fleet. What was not written is lost if all processes end.
	minInterval        = 60 * time.Millisecond
	intervalPerProcess = 6 * time.Millisecond
	// idleInterval is the time after which the writer looks for what is due.
	idleInterval = 200 * time.Millisecond
	// registrars is how many processes register a new version without waiting for the word
	// of another one, end versions and remove old streams.
	registrars = 2
	// minPatience and patiencePerProcess give the time that the other processes wait.
	minPatience        = 150 * time.Millisecond
	patiencePerProcess = 15 * time.Millisecond
	// endDelay is how long a version must be unlisted before its end is written: an engine
	// may be listed again.
	endDelay = 1 * time.Second
	// recheckInterval is the time between two reads while there are several versions, and of
	// the registrars always. It must be far below the retention of streams.
	recheckInterval = 10 * time.Second
	writeTimeout    = 1 * time.Second
	// maxAttempts bounds the writes of registers in a row, of which others may prevent some.
	maxAttempts = 6
	// minBackoff is the least time from a failed call to the next.
	minBackoff = 400 * time.Millisecond
)

// writer is the state of the task that writes.
type writer struct {
	segment     segment // The one that is being filled.
	segmentKey  string
	writes      int // Of the segment.
	segments    int // Number begun.
	unsaved     bool
	notBefore   time.Time // After a failed call.
	flushAt     time.Time // When streams that wait may be written; zero if none wait.
	mustRead    bool
	lastFlushAt time.Time
}

// Run registers versions and writes streams until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !clock.Now().Before(t.writer.notBefore) {
			if err := t.step(ctx); err != nil && ctx.Err() == nil {
				t.recordFailure(err)
			}
		}
		select {
		case <-ctx.Done():
		case <-t.wake:
		case <-time.After(t.writer.wait()):
		}
	}
}

// wait returns the time until something may be due.
func (w *writer) wait() time.Duration {
	if w.flushAt.IsZero() {
		return idleInterval
	}
	return min(max(w.flushAt.Sub(clock.Now()), 0), idleInterval)
}

// recordFailure delays the next call. What a write did is not known, so the table is read
// before the next one.
func (t *Tracker) recordFailure(err error) {
	t.writer.mustRead = true
	t.writer.notBefore = clock.Now().Add(minBackoff + rand.N(minBackoff))
	t.meter.Count("stream_versions", "store_failed")
	log.Error(err, "The versions of streams can't be written or read now.", "segment", t.writer.segmentKey, "streams", len(t.writer.segment.streams))
}

func (t *Tracker) step(ctx context.Context) error {
	if t.readIsDue() {
		if err := t.refresh(ctx); err != nil {
			return err
		}
		t.writer.mustRead = false
	}
	for range maxAttempts {
		due, ok := t.dueRegister()
		if !ok {
			break
		}
		if err := t.writeRegister(ctx, due); err != nil {
			return err
		}
	}
	return t.writeStreams(ctx)
}

func (t *Tracker) readIsDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.table.loaded || t.table.era != t.store.Era() || t.writer.mustRead {
		return true
	}
	if t.registrationReadDue() {
		return true
	}
	if clock.Now().Sub(t.table.requestedAt) < recheckInterval {
		return false
	}
	if t.fleet.AmongFirst(registrars) && (len(t.table.segments) > 0 || len(t.endpoints) > 0) {
		return true // Another process may have ended a version that this one lists.
	}
	for name, s := range t.services {
		if t.severalVersions(name, s) {
			return true
		}
	}
	return false
}

// registrationReadDue reports whether the registers have to be read to know whether a listed
// version is registered. t.mu must be held.
func (t *Tracker) registrationReadDue() bool {
	first := t.fleet.AmongFirst(registrars)
	for serviceName, s := range t.services {
		row := t.table.register(serviceName)
		for name, v := range s.versions {
			if v.engines == 0 || v.inUse || v.missing {
				continue
			}
			// A registrar writes the version itself, unless its copy of the register has it.
			if first && row.InUse(name) || !first && t.waitedLongEnough(v.since) {
				return true
			}
		}
	}
	return false
}

// waitedLongEnough reports whether a process that is not among the first has waited long
// enough since a moment.
func (t *Tracker) waitedLongEnough(since time.Time) bool {
	patience := minPatience + time.Duration(t.fleet.Size())*patiencePerProcess
	return clock.Now().Sub(since) >= patience/2+rand.N(patience/2)
}

// severalVersions reports whether streams of a service that are taken up can't be told to be
// of one version without a record. t.mu must be held.
func (t *Tracker) severalVersions(name string, s *service) bool {
	now := t.table.moment()
	now.Era = t.store.Era()
	register := t.table.registers[name].Register
	register.Uses = streamversion.Merge(register.Uses, s.seen(now.NowMS))
	if len(register.Uses) == 0 {
		return false
	}
	registers := []streamversion.Register{register}
	for _, sharing := range t.Sharing(name) {
		registers = append(registers, t.table.registers[sharing].Register)
	}
	_, single := streamversion.SingleOf(now, registers...)
	return !single
}

// dueWrite is a register that is due to be written.
type dueWrite struct {
	service    string
	next       streamversion.Register
	before     streamversion.Register
	rowVersion int64
}

// dueRegister returns a register that is due to be written, if any.
func (t *Tracker) dueRegister() (dueWrite, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.fleet.AmongFirst(registrars)
	if t.table.era != t.store.Era() || !first && !t.waitedLongEnough(t.eraSince) {
		return dueWrite{}, false
	}
	for name, s := range t.services {
		row := t.table.register(name)
		mayEnd := first && s.settled()
		noted := row.EndsNoted(s.listed())
		// What is remembered of an earlier era is written first, and noted like all others.
		next, changed := row.Next(streamversion.Observation{
			Moment: t.table.moment(), LatestMS: t.table.latest(), Listed: s.due(first), Remembered: s.remembered,
			NoteUnlisted: mayEnd && !noted, EndUnlisted: mayEnd && noted && s.remembered == nil,
		})
		if changed {
			return dueWrite{service: name, next: next, before: row.Register, rowVersion: row.rowVersion}, true
		}
		s.remembered = nil
	}
	return dueWrite{}, false
}

// due returns the listed versions, without those that another process is expected to
// register.
func (s *service) due(first bool) []string {
	var due []string
	for _, name := range s.listed() {
		if v := s.versions[name]; first || v.inUse || v.missing {
			due = append(due, name)
		}
	}
	return due
}

// settled reports whether no version was listed or unlisted a moment ago.
func (s *service) settled() bool {
	for _, v := range s.versions {
		changed := v.since
		if v.engines == 0 {
			changed = v.ended
		}
		if clock.Now().Sub(changed) < endDelay {
			return false
		}
	}
	return true
}

// writeRegister writes a register, or reads the table if another process has written it
// before.
func (t *Tracker) writeRegister(ctx context.Context, due dueWrite) error {
	value, err := json.Marshal(due.next)
	if err != nil {
		return err
	}
	var tx site.Tx
	tx.Require(Table, registerPrefix+due.service, due.rowVersion)
	tx.Put(Table, registerPrefix+due.service, value)
	askedAt := clock.Now()
	page, err := t.commit(ctx, tx)
	if errors.Is(err, site.ErrConflict) {
		return t.refresh(ctx)
	}
	if err != nil {
		return err
	}
	t.meter.Count("stream_versions", "registered")
	log.Info("The software versions of a service in use have changed.", "service", due.service, "versions", due.next.Uses, "before", due.before.Uses, "uncertain_until_ms", due.next.UncertainUntilMS, "now_ms", page.StoreClockMS, "era", due.next.Era, "version", page.Version)
	t.mu.Lock()
	defer t.mu.Unlock()
	if page.Era != t.table.era || t.table.registers[due.service].rowVersion > page.Version {
		return nil // It is read again, or was since the write.
	}
	t.table.registers[due.service] = register{Register: due.next, rowVersion: page.Version, askedAt: askedAt}
	t.table.observeClock(page, askedAt)
	t.services[due.service].remembered = nil
	t.reconcile()
	return nil
}

func (t *Tracker) commit(ctx context.Context, tx site.Tx) (site.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return t.store.Commit(ctx, tx)
}
