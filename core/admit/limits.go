// Package admit decides which requests are accepted and which are refused before
// they run. An entry process enforces the limits of each team; an endpoint refuses
// runs whose first token would be late.
//
// Times are durations since an origin chosen by the caller.
package admit

import (
	"math"
	"time"
)

// Reason is the outcome of an admission decision.
type Reason string

const (
	Admitted         Reason = "admitted"
	OverRequestRate  Reason = "over_request_rate"
	OverTokenRate    Reason = "over_token_rate"
	OverConcurrency  Reason = "over_concurrency"
	TooLate          Reason = "too_late"     // The first token would miss its deadline.
	OverShare        Reason = "over_share"   // Evicted in favour of teams below their share.
	QueueFull        Reason = "queue_full"   // The queue reached its length limit.
	NoEndpointInTime Reason = "none_in_time" // No examined endpoint would meet the deadline.
)

// Limits are the limits of a team at one entry process. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
}

// Share returns an entry process's part of a team's limits, given the fraction of
// the team's requests that arrive through it.
func (l Limits) Share(fraction float64) Limits {
	fraction = min(max(fraction, 0), 1)
	return Limits{
		RequestsPerSecond: l.RequestsPerSecond * fraction,
		TokensPerSecond:   l.TokensPerSecond * fraction,
		Concurrent:        int(math.Ceil(float64(l.Concurrent) * fraction)),
	}
}

// Decision is the result of an admission check. RetryAfter is set if the request is
// refused.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// OK reports whether the request was admitted.
func (d Decision) OK() bool { return d.Reason == Admitted }

// Parameters of the limiter.
const (
	burst                 = time.Second            // A team may use this much of its rate at once.
	minRetryAfter         = 100 * time.Millisecond // Lower bound of Retry-After.
	concurrencyRetryAfter = 500 * time.Millisecond // Retry-After when the concurrency limit is reached.
	firstSweepTeams       = 64                     // Number of teams at which idle ones are first removed.
)

// teamUsage is a team's current usage of its limits. requests and tokens are levels
// of leaky buckets, which drain at the rates of the limits.
type teamUsage struct {
	requests   float64
	tokens     float64
	updatedAt  time.Duration
	concurrent int
}

// Limiter enforces the limits of teams at one entry process. Idle teams are removed.
// It is not safe for concurrent use.
type Limiter struct {
	teams   map[string]*teamUsage
	sweepAt int // Number of teams at which idle ones are next removed.
}

// NewLimiter returns a limiter without recorded usage.
func NewLimiter() *Limiter {
	return &Limiter{teams: make(map[string]*teamUsage), sweepAt: firstSweepTeams}
}

// Begin decides on a request of a team. tokens is the number of tokens that it is
// expected to use.
func (l *Limiter) Begin(now time.Duration, team string, limits Limits, tokens float64) Decision {
	u := l.teamUsage(now, team)
	u.drain(now, limits)
	if limits.Concurrent > 0 && u.concurrent >= limits.Concurrent {
		return Decision{Reason: OverConcurrency, RetryAfter: concurrencyRetryAfter}
	}
	if wait := drainTime(u.requests+1, limits.RequestsPerSecond, 1); wait > 0 {
		return Decision{Reason: OverRequestRate, RetryAfter: wait}
	}
	// A request that needs more tokens than a burst is admitted at any level up to the
	// burst; otherwise it would never be.
	if wait := drainTime(u.tokens, limits.TokensPerSecond, 0); wait > 0 {
		return Decision{Reason: OverTokenRate, RetryAfter: wait}
	}
	u.requests++
	u.tokens += tokens
	u.concurrent++
	return Decision{Reason: Admitted}
}

// End releases the concurrency of a finished request and corrects the predicted
// number of tokens to the actual one.
func (l *Limiter) End(team string, predicted, actual float64) {
	u, ok := l.teams[team]
	if !ok {
		return
	}
	u.concurrent--
	u.tokens = max(0, u.tokens+actual-predicted)
}

// Cancel reverts Begin for a request that was refused later.
func (l *Limiter) Cancel(team string, tokens float64) {
	u, ok := l.teams[team]
	if !ok {
		return
	}
	u.concurrent--
	u.requests = max(0, u.requests-1)
	u.tokens = max(0, u.tokens-tokens)
}

// drainTime returns how long a bucket takes to drain from level to its burst size,
// which is at least minBurst.
func drainTime(level, rate, minBurst float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	excess := level - max(minBurst, rate*burst.Seconds())
	if excess <= 0 {
		return 0
	}
	return max(minRetryAfter, seconds(excess/rate))
}

// drain lowers the bucket levels by what the limits allow since the last update.
func (u *teamUsage) drain(now time.Duration, limits Limits) {
	elapsed := max(0, (now - u.updatedAt).Seconds())
	u.requests = max(0, u.requests-elapsed*limits.RequestsPerSecond)
	u.tokens = max(0, u.tokens-elapsed*limits.TokensPerSecond)
	u.updatedAt = now
}

func (l *Limiter) teamUsage(now time.Duration, team string) *teamUsage {
	if u, ok := l.teams[team]; ok {
		return u
	}
	l.sweep(now)
	u := &teamUsage{updatedAt: now}
	l.teams[team] = u
	return u
}

// sweep removes teams that have been idle for longer than a burst takes to drain. The
// cost is amortised over the teams added since the previous sweep.
func (l *Limiter) sweep(now time.Duration) {
	if len(l.teams) < l.sweepAt {
		return
	}
	for team, u := range l.teams {
		if u.concurrent == 0 && now-u.updatedAt > 2*burst {
			delete(l.teams, team)
		}
	}
	l.sweepAt = firstSweepTeams + 2*len(l.teams)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
