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
	perSecond  float64
	tokens     float64
	refilledAt time.Time
	waiters    []waiter             // Processes that wait, the longest waiting first.
	askedAt    map[string]time.Time // Last question of each process within waiterTTL.
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
	l.refill(now)
	l.perSecond = max(perSecond, minPerSecond)
	l.tokens = min(l.tokens, l.burst())
}

// Available reports whether Take would grant a request of a process.
func (l *Ledger) Available(now time.Time, vm string) bool {
	l.refill(now)
	return l.tokens >= l.required(vm)
}

// Take grants a process one request, or else notes that it waits for one.
func (l *Ledger) Take(now time.Time, vm string) bool {
	l.refill(now)
	_, asksOften := l.askedAt[vm]
	l.noteAsked(now, vm)
	position := l.position(vm)
	if l.tokens < l.required(vm) {
		if position == len(l.waiters) && asksOften {
			l.waiters = append(l.waiters, waiter{vm: vm})
		}
		if position < len(l.waiters) {
			l.waiters[position].until = now.Add(waiterTTL)
		}
		return false
	}
	l.tokens--
	if position < len(l.waiters) {
		l.waiters = slices.Delete(l.waiters, position, position+1)
	}
	return true
}

// GiveBack gives back a request that was granted and not sent.
func (l *Ledger) GiveBack(now time.Time) {
	l.refill(now)
	l.tokens = min(l.tokens+1, l.burst())
}

func (l *Ledger) noteAsked(now time.Time, vm string) {
	if l.askedAt == nil {
		l.askedAt = make(map[string]time.Time)
	}
	l.askedAt[vm] = now
}

// RetryIn returns the time after which a process that was granted nothing should ask
// again.
func (l *Ledger) RetryIn(now time.Time, vm string) time.Duration {
	l.refill(now)
	if l.perSecond <= 0 {
		return maxRetryIn
	}
	missing := (l.required(vm) - l.tokens) / l.perSecond
	return min(max(time.Duration(missing*float64(time.Second)), minRetryIn), maxRetryIn)
}

// refill adds the tokens of the time since the last call, and drops processes that no
// longer wait.
func (l *Ledger) refill(now time.Time) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w waiter) bool { return now.After(w.until) })
	maps.DeleteFunc(l.askedAt, func(_ string, at time.Time) bool { return now.Sub(at) > waiterTTL })
	elapsed := now.Sub(l.refilledAt)
	l.refilledAt = now
	if l.perSecond <= 0 {
		return
	}
	l.tokens = min(l.tokens+max(elapsed, 0).Seconds()*l.perSecond, l.burst())
}

// burst returns the largest number of tokens.
func (l *Ledger) burst() float64 { return 1 + l.perSecond*burstTime.Seconds() }

// required returns the number of tokens at which a process is granted one: one more
// than there are processes that have waited longer, up to the largest number.
func (l *Ledger) required(vm string) float64 {
	return min(float64(l.position(vm)+1), max(l.burst(), 1))
}

// position returns the number of processes that have waited longer than vm.
func (l *Ledger) position(vm string) int {
	i := slices.IndexFunc(l.waiters, func(w waiter) bool { return w.vm == vm })
	if i < 0 {
		return len(l.waiters)
	}
	return i
}
