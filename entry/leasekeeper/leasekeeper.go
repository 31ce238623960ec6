// Package leasekeeper takes and renews one lease in the table service for this
// process.
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
	// renewals is how many renewals fit a term, about.
	renewals    = 3
	callTimeout = 2 * time.Second
	// soonest is the shortest wait between two steps.
	soonest = 50 * time.Millisecond
	// standbyEvery is the interval at which a process looks that is not among
	// the first to take the lease.
	standbyEvery = 15 * time.Second
	// standbyStep is the interval at which it looks whether it is among them now.
	standbyStep = 500 * time.Millisecond
)

var errEnded = errors.New("lease: the term has ended; remedy: the next holder goes on")

var log = logging.For("entry/lease")

// Keeper holds or waits for one lease.
//
// The lease is a row that each renewal writes. A second row changes only when
// the lease changes hands: it guards the transactions of a term, so that a
// renewal does not make them fail.
type Keeper struct {
	tables   tables.Service
	key      tables.Key
	epochKey tables.Key
	instance string
	clock    clock.Clock
	// first reports whether this process is among the first to take the lease.
	first func() bool
	term  time.Duration

	mu       sync.Mutex
	observed lease.Observed
	held     lease.Term
	guard    tables.Condition
	attempt  int64
	lost     bool // The lease could not be read at the last look.
	// sent is when each write was sent whose end is not known.
	sent map[lease.Row]time.Time
}

// New returns a keeper of the lease with a name for the process instance.
func New(service tables.Service, name, instance string) *Keeper {
	return NewWithClock(service, name, instance, clock.Now)
}

// NewWithClock returns a keeper that counts terms on a given clock.
func NewWithClock(service tables.Service, name, instance string, c clock.Clock) *Keeper {
	return &Keeper{
		tables:   service,
		key:      tables.Key{Table: tableName, Row: name},
		epochKey: tables.Key{Table: tableName, Row: name + epochSuffix},
		instance: instance,
		clock:    c,
		first:    func() bool { return true },
		term:     defaultTerm,
		sent:     make(map[lease.Row]time.Time),
	}
}

// SetTerm sets how long a renewal lasts. It must be called before Run.
func (k *Keeper) SetTerm(term time.Duration) { k.term = term }

func (k *Keeper) renewEvery() time.Duration { return k.term / renewals }

// StandBy makes this process look at the lease rarely while first reports
// false, so that the reads of a lease don't grow with the number of processes.
// It must be called before Run.
func (k *Keeper) StandBy(first func() bool) { k.first = first }

// Run takes and renews the lease until ctx ends, and then gives it up.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		k.Step(ctx)
		k.rest(ctx)
	}
	k.Release(context.WithoutCancel(ctx))
}

// rest waits until the next look. A process that stands by looks as soon as it
// is among the first, since those before it may be cut off from the store.
func (k *Keeper) rest(ctx context.Context) {
	standsBy := !k.first()
	left := k.untilNext()
	for left > 0 && ctx.Err() == nil {
		step := left
		if standsBy {
			step = min(left, standbyStep)
		}
		clock.Sleep(ctx, step)
		left -= step
		if standsBy && k.first() {
			return
		}
	}
}

// untilNext returns when to look again: at the next renewal, or as soon as the
// lease may be taken.
func (k *Keeper) untilNext() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if k.held.Valid(now) {
		return k.renewEvery()
	}
	if !k.first() {
		return standbyEvery
	}
	return min(max(k.observed.AcquirableAt().Sub(now), soonest), k.renewEvery())
}

// Held returns the term and whether this process may act under it now.
func (k *Keeper) Held() (lease.Term, bool) {
	fence, held := k.Fence()
	return fence.Term, held
}

// Guard returns the condition under which a transaction of the term may take
// effect: nobody has taken the lease since.
func (k *Keeper) Guard() tables.Condition {
	fence, _ := k.Fence()
	return fence.Guard
}

// MayAct returns an error when the term has ended for this process.
func (k *Keeper) MayAct() error {
	if _, held := k.Fence(); !held {
		return errEnded
	}
	return nil
}

// Fence is a term and the condition that guards its transactions.
type Fence struct {
	Term  lease.Term
	Guard tables.Condition
}

// Fence returns the term with its guard and whether this process may act under
// it now. Both belong together, also when the lease changes hands meanwhile.
func (k *Keeper) Fence() (Fence, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.guarded() && k.held.Valid(k.clock())
	return Fence{Term: k.held, Guard: k.guard}, held
}

func (k *Keeper) guarded() bool { return k.guard != tables.Condition{} }

// Step reads the row, then renews or takes the lease if it may.
func (k *Keeper) Step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, version, err := k.read(ctx)
	k.noteCall(err)
	if err != nil {
		return
	}
	known := k.learn(row)
	switch {
	case k.mine(row) && known:
		k.renew(ctx, row, version)
	case k.mayTake():
		k.take(ctx, version)
	}
}

// noteCall logs when the lease can't be read any more, and again when it can: a
// holder that can't renew stops acting before its term ends.
func (k *Keeper) noteCall(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	lost := err != nil
	if lost == k.lost {
		return
	}
	k.lost = lost
	if lost {
		log.Error(err, "The lease can't be read; a term that is held ends when it is not renewed.", "lease", k.key.Row, "epoch", k.held.Row.Epoch)
		return
	}
	log.Info("The lease can be read again.", "lease", k.key.Row, "epoch", k.observed.Row.Epoch, "holder", k.observed.Row.Holder)
}

// learn notes the row as read. A row that one of this process's own writes left
// begins a term, also when the answer to that write was lost. It reports whether
// the epoch of a row of this process is the one held.
func (k *Keeper) learn(row lease.Row) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	invariant.Check(row.Epoch >= k.observed.Row.Epoch, invariant.EpochNeverFalls, "epoch %d after %d", row.Epoch, k.observed.Row.Epoch)
	k.observed = k.observed.Observe(row, k.clock())
	if sent, own := k.sent[row]; own {
		k.begin(row, sent)
	}
	return row.Epoch == k.held.Row.Epoch
}

// begin starts or extends the term of row. It is called with mu held.
func (k *Keeper) begin(row lease.Row, sent time.Time) {
	if row.Epoch != k.held.Row.Epoch {
		log.Info("The lease was taken.", "lease", k.key.Row, "epoch", row.Epoch)
		k.guard = tables.Condition{}
	}
	k.held = lease.Term{Row: row, SentAt: sent}
	clear(k.sent)
}

func (k *Keeper) mine(row lease.Row) bool { return row.Holder == k.instance }

func (k *Keeper) mayTake() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.observed.CanAcquire(k.clock())
}

func (k *Keeper) renew(ctx context.Context, row lease.Row, version int64) {
	if !k.isGuarded() {
		k.readGuard(ctx)
	}
	renewed := row.Renewal(k.nextAttempt())
	k.write(ctx, renewed, tables.Txn{Conditions: []tables.Condition{{Key: k.key, Version: version}}})
}

func (k *Keeper) isGuarded() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.guarded()
}

func (k *Keeper) take(ctx context.Context, version int64) {
	attempt := k.nextAttempt()
	k.mu.Lock()
	row := k.observed.Acquire(k.instance, attempt, k.term)
	k.mu.Unlock()
	value, err := json.Marshal(row)
	if err != nil {
		return
	}
	k.write(ctx, row, tables.Txn{
		Conditions: []tables.Condition{{Key: k.key, Version: version}},
		Writes:     []tables.Write{{Key: k.epochKey, Value: value}},
	})
	k.readGuard(ctx)
}

// readGuard learns the version of the epoch row, without which no transaction
// of the term can be guarded.
func (k *Keeper) readGuard(ctx context.Context) {
	stored, err := k.tables.Get(ctx, k.epochKey)
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
		k.guard = tables.Condition{Key: k.epochKey, Version: stored.Version}
	}
}

// Release gives the lease up, so that a successor need not wait for its end.
func (k *Keeper) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	held := k.end()
	if held.Row.Holder != "" {
		log.Info("The lease is given up.", "lease", k.key.Row, "epoch", held.Row.Epoch)
	}
	row, version, err := k.read(ctx)
	if err != nil || !k.mine(row) || row.Epoch != held.Row.Epoch {
		return
	}
	released := row.Released(k.nextAttempt())
	k.write(ctx, released, tables.Txn{Conditions: []tables.Condition{{Key: k.key, Version: version}}})
}

// end ends the term for this process before anybody else hears of it.
func (k *Keeper) end() lease.Term {
	k.mu.Lock()
	defer k.mu.Unlock()
	held := k.held
	k.held = lease.Term{}
	k.guard = tables.Condition{}
	clear(k.sent)
	return held
}

func (k *Keeper) nextAttempt() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.attempt++
	return k.attempt
}

func (k *Keeper) read(ctx context.Context) (lease.Row, int64, error) {
	stored, err := k.tables.Get(ctx, k.key)
	if errors.Is(err, tables.ErrNotFound) {
		return lease.Row{}, 0, nil
	}
	if err != nil {
		return lease.Row{}, 0, err
	}
	var row lease.Row
	err = json.Unmarshal(stored.Value, &row)
	return row, stored.Version, err
}

// write commits row with the rest of txn. The time is taken before the write is
// sent, and kept until it is known which write came last.
func (k *Keeper) write(ctx context.Context, row lease.Row, txn tables.Txn) {
	value, err := json.Marshal(row)
	if err != nil {
		return
	}
	txn.Writes = append(txn.Writes, tables.Write{Key: k.key, Value: value})
	sent := k.clock()
	k.remember(row, sent)
	err = k.tables.Commit(ctx, txn)
	if errors.Is(err, tables.ErrConflict) {
		log.Info("Another process wrote the lease first.", "lease", k.key.Row, "epoch", row.Epoch)
		return
	}
	if err != nil {
		log.Error(err, "A write of the lease is not known to be done; the row tells at the next look.", "lease", k.key.Row, "epoch", row.Epoch)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, pending := k.sent[row]; pending {
		k.begin(row, sent)
	}
}

func (k *Keeper) remember(row lease.Row, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for earlier, at := range k.sent {
		if sent.Sub(at) >= k.term {
			delete(k.sent, earlier)
		}
	}
	if k.mine(row) {
		k.sent[row] = sent
	}
}
