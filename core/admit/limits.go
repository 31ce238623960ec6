// Package admit decides which requests are taken and which are refused before
// they run: limits of a team at an entry, and at an endpoint the runs whose
// first token can no longer be in time.
//
// Times are spans since an origin of the caller's choice.
package admit

import (
	"math"
	"time"
)

// Reason says why a request was refused.
type Reason string

// The reasons.
const (
	Admitted         Reason = "admitted"
	OverRequestRate  Reason = "over_request_rate"
	OverTokenRate    Reason = "over_token_rate"
	OverConcurrency  Reason = "over_concurrency"
	TooLate          Reason = "too_late"     // The first token can't be in time.
	OverShare        Reason = "over_share"   // Gave way to teams below their share.
	QueueFull        Reason = "queue_full"   // The queue's bound in runs.
	NoEndpointInTime Reason = "none_in_time" // At no endpoint looked at.
)

// Limits bound one team at one entry. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
}

// Share returns an entry's part of a team's limits, given the fraction of the
// team's requests that comes through it.
func (l Limits) Share(fraction float64) Limits {
	fraction = min(max(fraction, 0), 1)
	return Limits{
		RequestsPerSecond: l.RequestsPerSecond * fraction,
		TokensPerSecond:   l.TokensPerSecond * fraction,
		Concurrent:        int(math.Ceil(float64(l.Concurrent) * fraction)),
	}
}

// Decision is the answer to a request. RetryAfter is set when it is refused.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}

// OK reports whether the request was admitted.
func (d Decision) OK() bool { return d.Reason == Admitted }

// Bounds of the limiter.
const (
	burst         = time.Second            // A team may use this much of its rate at once.
	minRetryAfter = 100 * time.Millisecond // Retry-After is at least this.
	concurrentFor = 500 * time.Millisecond // Retry-After when too many run.
	forgetAt      = 64                     // Teams at which idle ones are first dropped.
)

// usage is what a team used of its limits here.
type usage struct {
	requests   float64 // Level of the bucket of requests; 0 is full.
	tokens     float64 // Level of the bucket of tokens; 0 is full.
	at         time.Duration
	concurrent int
}

// Limiter enforces limits at one entry. Only teams in use are remembered. It
// is not safe for concurrent use.
type Limiter struct {
	teams   map[string]*usage
	sweepAt int
}

// NewLimiter returns a limiter without any use.
func NewLimiter() *Limiter {
	return &Limiter{teams: make(map[string]*usage), sweepAt: forgetAt}
}

// Begin decides on a request of a team that is expected to take tokens.
func (l *Limiter) Begin(now time.Duration, team string, limits Limits, tokens float64) Decision {
	u := l.usage(now, team)
	u.drain(now, limits)
	if limits.Concurrent > 0 && u.concurrent >= limits.Concurrent {
		return Decision{Reason: OverConcurrency, RetryAfter: concurrentFor}
	}
	if wait := over(u.requests+1, limits.RequestsPerSecond, 1); wait > 0 {
		return Decision{Reason: OverRequestRate, RetryAfter: wait}
	}
	// A request larger than the burst passes when the bucket is full.
	if wait := over(u.tokens, limits.TokensPerSecond, 0); wait > 0 {
		return Decision{Reason: OverTokenRate, RetryAfter: wait}
	}
	u.requests++
	u.tokens += tokens
	u.concurrent++
	return Decision{Reason: Admitted}
}

// End takes back a request's concurrency and corrects its tokens.
func (l *Limiter) End(team string, predicted, actual float64) {
	u, ok := l.teams[team]
	if !ok {
		return
	}
	u.concurrent--
	u.tokens = max(0, u.tokens+actual-predicted)
}

// Cancel takes back a request that was begun and then refused.
func (l *Limiter) Cancel(team string, tokens float64) {
	u, ok := l.teams[team]
	if !ok {
		return
	}
	u.concurrent--
	u.requests = max(0, u.requests-1)
	u.tokens = max(0, u.tokens-tokens)
}

// over returns how long a bucket at level needs to come down to its burst.
func over(level, rate, least float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	excess := level - max(least, rate*burst.Seconds())
	if excess <= 0 {
		return 0
	}
	return max(minRetryAfter, seconds(excess/rate))
}

func (u *usage) drain(now time.Duration, limits Limits) {
	elapsed := max(0, (now - u.at).Seconds())
	u.requests = max(0, u.requests-elapsed*limits.RequestsPerSecond)
	u.tokens = max(0, u.tokens-elapsed*limits.TokensPerSecond)
	u.at = now
}

func (l *Limiter) usage(now time.Duration, team string) *usage {
	if u, ok := l.teams[team]; ok {
		return u
	}
	l.sweep(now)
	u := &usage{at: now}
	l.teams[team] = u
	return u
}

// sweep drops teams without use for longer than the burst takes to drain. Its
// cost is amortised over the teams added since the last one.
func (l *Limiter) sweep(now time.Duration) {
	if len(l.teams) < l.sweepAt {
		return
	}
	for team, u := range l.teams {
		if u.concurrent == 0 && now-u.at > 2*burst {
			delete(l.teams, team)
		}
	}
	l.sweepAt = forgetAt + 2*len(l.teams)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
