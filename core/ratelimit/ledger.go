package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// Parameters of a Ledger.
const (
	// burstTime is the time whose requests may be sent at once after a pause.
	burstTime = 1 * time.Second
	// minPerSecond is the rate granted where an endpoint accepts less: without any
	// request, it could not say that its limit has ended.
	minPerSecond = 0.25
	// waiterTTL is how long a process keeps its place after it was granted nothing, and
	// the longest time between two questions of a process that asks often. It exceeds
	// maxRetryIn.
	waiterTTL = 1500 * time.Millisecond
	// minRetryIn and maxRetryIn bound the time after which such a process asks again.
	minRetryIn = 50 * time.Millisecond
	maxRetryIn = 1 * time.Second
)

// Ledger shares out the rate of one endpoint among processes. It is a token bucket
// whose tokens go first to the processes that have waited longest. A process waits only
// if it asks often: another may not come back for a token that is kept for it. The zero
// Ledger grants nothing until SetRate is called. It is not safe for concurrent use.
type Ledger struct {
	bucket  Bucket
	waiters []waiter             // Processes that wait, the longest waiting first.
	askedAt map[string]time.Time // Last question of each process within waiterTTL.
}

type waiter struct {
	vm    string
	until time.Time
}

// SetRate changes the rate. A rate of 0 stops all grants and drops the tokens.
func (l *Ledger) SetRate(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		*l = Ledger{}
		return
	}
	perSecond = max(perSecond, minPerSecond)
	l.bucket.SetRate(now, perSecond, 1+perSecond*burstTime.Seconds())
}

// Available reports whether Take would grant a request of a process.
func (l *Ledger) Available(now time.Time, vm string) bool {
	l.prune(now)
	return l.bucket.Tokens(now) >= l.required(vm)
}

// Take grants a process one request, or else notes that it waits for one.
func (l *Ledger) Take(now time.Time, vm string) bool {
	l.prune(now)
	_, asksOften := l.askedAt[vm]
	l.noteAsked(now, vm)
	position := l.position(vm)
	if l.bucket.Tokens(now) < l.required(vm) {
		if position == len(l.waiters) && asksOften {
			l.waiters = append(l.waiters, waiter{vm: vm})
		}
		if position < len(l.waiters) {
			l.waiters[position].until = now.Add(waiterTTL)
		}
		return false
	}
	l.bucket.Take(now, 1)
	if position < len(l.waiters) {
		l.waiters = slices.Delete(l.waiters, position, position+1)
	}
	return true
}

// GiveBack gives back a request that was granted and not sent.
func (l *Ledger) GiveBack(now time.Time) { l.bucket.Take(now, -1) }

func (l *Ledger) noteAsked(now time.Time, vm string) {
	if l.askedAt == nil {
		l.askedAt = make(map[string]time.Time)
	}
	l.askedAt[vm] = now
}

// RetryIn returns the time after which a process that was granted nothing should ask
// again.
func (l *Ledger) RetryIn(now time.Time, vm string) time.Duration {
	l.prune(now)
	return max(l.bucket.Until(now, l.required(vm), maxRetryIn), minRetryIn)
}

// prune drops processes that no longer wait.
func (l *Ledger) prune(now time.Time) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return now.After(w.until) })
	maps.DeleteFunc(l.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) > waiterTTL })
}

// required returns the number of tokens at which a process is granted one: one more
// than there are processes that have waited longer, up to the largest number.
func (l *Ledger) required(vm string) float64 {
	return min(float64(l.position(vm)+1), max(l.bucket.capacity, 1))
}

// position returns the number of processes that have waited longer than vm.
func (l *Ledger) position(vm string) int {
	i := slices.IndexFunc(l.waiters, func(w waiter) bool { return w.vm == vm })
	if i < 0 {
		return len(l.waiters)
	}
	return i
}
