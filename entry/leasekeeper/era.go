package leasekeeper

import (
	"strconv"
	"time"

	"flamingospar.org/core/lease"
	"flamingospar.org/platform/tables"
)

// SetFirstEpochFunc sets the function that returns the first epoch of the current era of
// the store, for a store that may come back from an older copy. It must be called before
// Run.
func (k *Keeper) SetFirstEpochFunc(firstEpoch func() lease.Epoch) { k.firstEpoch = firstEpoch }

// AssumeNeverHeld lets this process acquire a lease that has no row without a wait: the
// whole system starts for the first time, so that no process can have held it before the
// store came back from an older copy. It must be called before Run.
func (k *Keeper) AssumeNeverHeld() { k.neverHeld = true }

// StoreRestored records that the store came back from an older copy. The term that is held
// ends, since its row may be gone and its guard may mean another row now. No other process
// can have begun a term as long as it would have been valid, so this process may acquire
// the lease again at once until then; it is the holder in the new era only after that.
func (k *Keeper) StoreRestored() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	switch {
	case k.held.Valid(now):
		k.interrupted = k.held
		log.Info("The term of the lease ends, since the store came back from an older copy.", "lease", k.key.Row, "epoch", k.held.Row.Epoch)
	case !k.interrupted.Valid(now):
		k.interrupted = lease.Term{}
	}
	k.held = lease.Term{}
	k.guard = tables.Condition{}
	k.observed = lease.Observed{}
	k.continues = 0
	k.neverHeld = false
	clear(k.pendingWrites)
}

// acquirableAtLocked returns the earliest time at which this process may acquire the lease.
// The caller holds k.mu.
func (k *Keeper) acquirableAtLocked() time.Time {
	first := k.firstEpoch()
	unused := k.neverHeld && k.observed.Row == lease.Row{}
	if unused || k.observed.Row.Epoch < first && k.interrupted.Valid(k.clock()) {
		return k.observed.FirstSeen
	}
	return k.observed.AcquirableAt(first, k.term)
}

// epochKey returns the key of the epoch row of an epoch. Each era has its own, and the
// first acquisition in an era deletes the one before: a version that is given out again
// can't make the guard of an earlier era hold.
func (k *Keeper) epochKey(epoch lease.Epoch) tables.Key {
	name := k.key.Row + epochSuffix
	if era := epoch.Era(); era > 0 {
		name += "/" + strconv.FormatInt(era, 10)
	}
	return tables.Key{Table: tableName, Row: name}
}

func (k *Keeper) heldEpochKey() tables.Key {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.epochKey(k.held.Row.Epoch)
}
