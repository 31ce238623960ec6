package quota

import (
	"time"

	"flamingospar.org/core/decay"
	"flamingospar.org/core/ratelimit"
)

const (
	// advanceLevel is the part of the burst that must be left for units to be granted in
	// advance.
	advanceLevel = 0.5
	// MaxRetryIn bounds the time after which a refused request is told to come back.
	MaxRetryIn = 1 * time.Minute
)

// Ledger accounts for the part of a team's quota that one process shares out. A request
// larger than the burst passes when the ledger is full, and leaves a debt. The zero Ledger
// grants nothing. It is not safe for concurrent use.
type Ledger struct {
	bucket  ratelimit.Bucket
	burst   float64
	maxDebt float64
	start   float64 // Units after a start.
	share   float64
	// advanced are the units that other processes may hold without a need, as far as is known:
	// the sum of those granted in advance, decayed, less those returned.
	advanced   float64
	advancedAt time.Time
}

// Set changes the quota and the part of it that is shared out.
func (l *Ledger) Set(now time.Time, q Quota, tolerance Tolerance, share float64) {
	allowed := tolerance.Units(q)
	l.share = share
	l.burst = q.Burst * share
	l.maxDebt = debtPart * allowed * share
	l.start = min(startPart*allowed, q.Burst)
	l.bucket.SetRate(now, q.PerSecond*share, l.burst)
}

// Start fills the ledger of a new owner in part: others may have granted before it.
func (l *Ledger) Start(now time.Time) { l.fillTo(now, l.start) }

// Fill fills the ledger of a process that has shared out the quota alone for a window.
func (l *Ledger) Fill(now time.Time) { l.fillTo(now, l.burst) }

func (l *Ledger) fillTo(now time.Time, level float64) {
	l.bucket.Take(now, -max(level-l.bucket.Tokens(now), 0))
}

// Resume limits the ledger of a process that was paused: others may have granted meanwhile.
func (l *Ledger) Resume(now time.Time) { l.bucket.Limit(now, l.start) }

// required returns the units that the ledger must hold for a request, and false if the
// request is larger than any that passes. Requests may leave a debt for what was granted in
// advance: it would have sufficed for them had it not been granted.
func (l *Ledger) required(now time.Time, units float64) (float64, bool) {
	return min(units, l.burst) - min(l.decayAdvanced(now), l.start), units <= l.burst+l.maxDebt
}

// decayAdvanced returns the units granted in advance that may be held elsewhere.
func (l *Ledger) decayAdvanced(now time.Time) float64 {
	l.advanced *= decay.Remaining(now.Sub(l.advancedAt), shortHalfLife)
	l.advancedAt = now
	return l.advanced
}

// Take takes the units of one request, all or none.
func (l *Ledger) Take(now time.Time, units float64) bool {
	required, ok := l.required(now, units)
	if !ok || l.bucket.Tokens(now) < required {
		return false
	}
	l.bucket.Take(now, units)
	return true
}

// Grant takes units for another process: wanted ones, of which it may be granted a part
// unless they exceed the burst, and, while the ledger is more than half full, expected ones.
func (l *Ledger) Grant(now time.Time, wanted, expected float64) float64 {
	granted := 0.0
	if l.Take(now, wanted) {
		granted = wanted
	} else if wanted <= l.burst {
		granted = max(l.bucket.Tokens(now), 0)
		l.bucket.Take(now, granted)
	}
	advance := min(expected, l.bucket.Tokens(now)-advanceLevel*l.burst)
	if granted < wanted || advance <= 0 {
		return granted
	}
	l.bucket.Take(now, advance)
	l.advanced = l.decayAdvanced(now) + advance
	return granted + advance
}

// GiveBack returns units that were taken and not used.
func (l *Ledger) GiveBack(now time.Time, units float64) {
	l.bucket.Take(now, -units)
	l.advanced = max(l.decayAdvanced(now)-units, 0)
}

// RetryIn returns the time after which the ledger has room for a request.
func (l *Ledger) RetryIn(now time.Time, units float64) time.Duration {
	required, ok := l.required(now, units)
	if l.share <= 0 {
		return SilenceTimeout
	}
	if !ok {
		return MaxRetryIn
	}
	return l.bucket.Until(now, required, MaxRetryIn)
}

// Level returns the units that are left, which are negative in debt.
func (l *Ledger) Level(now time.Time) float64 { return l.bucket.Tokens(now) }
