// Package leasekeeper acquires and renews a lease in the table service on behalf
// of this process.
package leasekeeper

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging"
	"flamingospar.org/core/lease"
	"flamingospar.org/platform/tables"
)

const (
	tableName   = "leases"
	epochSuffix = "/epoch"
	defaultTerm = 10 * time.Second
	// renewalsPerTerm is the approximate number of renewals in a term.
	renewalsPerTerm = 3
	callTimeout     = 2 * time.Second
	// minStepDelay is the minimum delay between two steps.
	minStepDelay = 50 * time.Millisecond
	// standbyInterval is the interval at which a process that is not a candidate
	// for the lease reads it.
	standbyInterval = 15 * time.Second
	// candidateCheckInterval is the interval at which such a process checks
	// whether it has become a candidate.
	candidateCheckInterval = 500 * time.Millisecond
)

var errTermEnded = errors.New("lease: the term has ended; remedy: none needed, the next holder continues")

var log = logging.For("entry/lease")

// Keeper holds or waits for one lease.
//
// The lease is a row that each renewal writes. A second row, the epoch row, is
// written only when the lease is acquired. The transactions of a term are
// conditional on the epoch row, so that a renewal does not make them fail.
type Keeper struct {
	tables   tables.Service
	key      tables.Key
	instance string
	clock    clock.Clock
	// isCandidate reports whether this process is among the few that read the
	// lease often.
	isCandidate func() bool
	// firstEpoch returns the first epoch of the current era of the store.
	firstEpoch func() lease.Epoch
	// neverHeld is set while nothing shows that the lease has ever been held.
	neverHeld bool
	term      time.Duration

	mu         sync.Mutex
	observed   lease.Observed
	held       lease.Term
	guard      tables.Condition
	attempt    int64
	readFailed bool // The last read of the lease failed.
	// pendingWrites maps each row whose write has an unknown result to the time
	// at which the write was sent.
	pendingWrites map[lease.Row]time.Time
	// interrupted is the term that was valid when the store came back from an older
	// copy. Until it ends no other process can be the holder.
	interrupted lease.Term
	continues   lease.Epoch // Of the interrupted term that the current one follows; 0 if none.
}

// New returns a keeper of the named lease for the process instance.
func New(service tables.Service, name, instance string) *Keeper {
	return NewWithClock(service, name, instance, clock.Now)
}

// NewWithClock is like New, with c as the clock that measures terms.
func NewWithClock(service tables.Service, name, instance string, c clock.Clock) *Keeper {
	return &Keeper{
		tables:        service,
		key:           tables.Key{Table: tableName, Row: name},
		instance:      instance,
		clock:         c,
		isCandidate:   func() bool { return true },
		firstEpoch:    func() lease.Epoch { return 0 },
		term:          defaultTerm,
		pendingWrites: make(map[lease.Row]time.Time),
	}
}

// SetTerm sets the validity of the lease after a renewal. It must be called
// before Run.
func (k *Keeper) SetTerm(term time.Duration) { k.term = term }

func (k *Keeper) renewInterval() time.Duration { return k.term / renewalsPerTerm }

// SetCandidateFunc makes this process read the lease only every standbyInterval
// while isCandidate returns false, so that the load on the store does not grow
// with the number of processes. It must be called before Run.
func (k *Keeper) SetCandidateFunc(isCandidate func() bool) { k.isCandidate = isCandidate }

// Run acquires and renews the lease until ctx ends, and then releases it.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Step(ctx)
		k.waitForNextStep(ctx)
	}
	k.Release(context.WithoutCancel(ctx))
}

// waitForNextStep waits until the next step is due. A standby process takes its
// step as soon as it becomes a candidate, because the candidates before it may be
// cut off from the store.
func (k *Keeper) waitForNextStep(ctx context.Context) {
	standby := !k.isCandidate()
	remaining := k.nextDelay()
	for remaining > 0 && ctx.Err() == nil {
		step := remaining
		if standby {
			step = min(remaining, candidateCheckInterval)
		}
		clock.Sleep(ctx, step)
		remaining -= step
		if standby && k.isCandidate() {
			return
		}
	}
}

// nextDelay returns the delay until the next step: until the next renewal, or
// until the lease may be acquired.
func (k *Keeper) nextDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if k.held.Valid(now) {
		return k.renewInterval()
	}
	if !k.isCandidate() && !k.interrupted.Valid(now) {
		return standbyInterval
	}
	return min(max(k.acquirableAtLocked().Sub(now), minStepDelay), k.renewInterval())
}

// Held returns the current term and whether this process may act under it now.
func (k *Keeper) Held() (lease.Term, bool) {
	fence, held := k.Fence()
	return fence.Term, held
}

// Guard returns the condition that makes a transaction fail once another term
// has begun.
func (k *Keeper) Guard() tables.Condition {
	fence, _ := k.Fence()
	return fence.Guard
}

// CheckHeld returns an error if this process may not act under the lease now.
func (k *Keeper) CheckHeld() error {
	if _, held := k.Fence(); !held {
		return errTermEnded
	}
	return nil
}

// Fence is a term and the condition for its transactions.
type Fence struct {
	Term  lease.Term
	Guard tables.Condition
	// Continues is the epoch of the term of this process that ended when the store came
	// back from an older copy, if no other process was the holder in between, and 0
	// otherwise.
	Continues lease.Epoch
}

// Fence returns the current term with its guard, and whether this process may act
// under it now. The term and the guard are read together, so that they match even
// if the lease changes hands concurrently.
func (k *Keeper) Fence() (Fence, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.hasGuardLocked() && k.held.Valid(k.clock())
	return Fence{Term: k.held, Guard: k.guard, Continues: k.continues}, held
}

func (k *Keeper) hasGuardLocked() bool { return k.guard != tables.Condition{} }

// Step reads the lease, then renews or acquires it if this process may.
func (k *Keeper) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, version, err := k.read(ctx)
	k.logReadResult(err)
	if err != nil {
		return
	}
	epochHeld := k.observe(row)
	switch {
	case k.isOwn(row) && epochHeld:
		k.renew(ctx, row, version)
	case k.canAcquire():
		k.acquire(ctx, version)
	}
}

// logReadResult logs when reads of the lease begin to fail and when they succeed
// again. A holder that can't renew the lease stops acting before its term ends.
func (k *Keeper) logReadResult(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	failed := err != nil
	if failed == k.readFailed {
		return
	}
	k.readFailed = failed
	if failed {
		log.Error(err, "The lease can't be read; a term that is held expires unless it is renewed.", "lease", k.key.Row, "epoch", k.held.Row.Epoch)
		return
	}
	log.Info("The lease can be read again.", "lease", k.key.Row, "epoch", k.observed.Row.Epoch, "holder", k.observed.Row.Holder)
}

// observe records the row that was read. A row that this process wrote starts or
// extends its term, even if the response to that write was lost. It reports
// whether the epoch of the row is that of the held term.
func (k *Keeper) observe(row lease.Row) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	invariant.Check(row.Epoch >= k.observed.Row.Epoch, invariant.EpochNeverFalls, "epoch %d after %d", row.Epoch, k.observed.Row.Epoch)
	k.observed = k.observed.Observe(row, k.clock())
	k.neverHeld = k.neverHeld && row == lease.Row{}
	if sentAt, pending := k.pendingWrites[row]; pending {
		k.startTermLocked(row, sentAt)
	}
	if row.Epoch > k.firstEpoch() && !k.isOwn(row) {
		k.interrupted = lease.Term{} // Another process was the holder since.
	}
	return row.Epoch == k.held.Row.Epoch
}

// startTermLocked starts or extends the term of row. The caller holds k.mu.
func (k *Keeper) startTermLocked(row lease.Row, sentAt time.Time) {
	if row.Epoch != k.held.Row.Epoch {
		log.Info("The lease was acquired.", "lease", k.key.Row, "epoch", row.Epoch, "continues", k.interrupted.Row.Epoch)
		k.guard = tables.Condition{}
		k.continues = 0
		if row.Epoch == k.firstEpoch()+1 { // Nobody held the lease in this era before.
			k.continues = k.interrupted.Row.Epoch
		}
		k.interrupted = lease.Term{}
	}
	k.held = lease.Term{Row: row, SentAt: sentAt}
	clear(k.pendingWrites)
}

func (k *Keeper) isOwn(row lease.Row) bool { return row.Holder == k.instance }

func (k *Keeper) canAcquire() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.clock().Before(k.acquirableAtLocked())
}

func (k *Keeper) renew(ctx context.Context, row lease.Row, version int64) {
	if !k.hasGuard() {
		k.readGuard(ctx)
	}
	renewed := row.Renewal(k.nextAttempt())
	k.write(ctx, renewed, tables.Txn{Conditions: []tables.Condition{{Key: k.key, Version: version}}})
}

func (k *Keeper) hasGuard() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hasGuardLocked()
}

func (k *Keeper) acquire(ctx context.Context, version int64) {
	attempt := k.nextAttempt()
	k.mu.Lock()
	before := k.observed.Row
	row := k.observed.Acquire(k.instance, attempt, k.term, k.firstEpoch())
	k.mu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		return
	}
	writes := []tables.Write{{Key: k.epochKey(row.Epoch), Value: value}}
	if before.Epoch.Era() != row.Epoch.Era() {
		writes = append(writes, tables.Write{Key: k.epochKey(before.Epoch), Delete: true})
	}
	k.write(ctx, row, tables.Txn{Conditions: []tables.Condition{{Key: k.key, Version: version}}, Writes: writes})
	k.readGuard(ctx)
}

// readGuard reads the version of the epoch row. Until it is known, the term has no
// guard and the process may not act.
func (k *Keeper) readGuard(ctx context.Context) {
	key := k.heldEpochKey()
	stored, err := k.tables.Get(ctx, key)
	if err != nil {
		return
	}
	var row lease.Row
	if json.Unmarshal(stored.Value, &row) != nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Epoch == k.held.Row.Epoch && row.Holder == k.instance {
		k.guard = tables.Condition{Key: key, Version: stored.Version}
	}
}

// Release releases the lease, so that a successor need not wait until it expires.
func (k *Keeper) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held := k.endTerm()
	if held.Row.Holder != "" {
		log.Info("The lease is being released.", "lease", k.key.Row, "epoch", held.Row.Epoch)
	}
	row, version, err := k.read(ctx)
	if err != nil || !k.isOwn(row) || row.Epoch != held.Row.Epoch {
		return
	}
	released := row.Released(k.nextAttempt())
	k.write(ctx, released, tables.Txn{Conditions: []tables.Condition{{Key: k.key, Version: version}}})
}

// endTerm ends the term locally. Release calls it before it writes the row, so
// that this process has stopped acting when a successor may begin.
func (k *Keeper) endTerm() lease.Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.held
	k.held = lease.Term{}
	k.guard = tables.Condition{}
	clear(k.pendingWrites)
	return held
}
