package ratelimit

import (
	"math"
	"time"
)

// Bucket is a token bucket that starts empty. What is taken may exceed what it holds, which
// leaves a debt. The zero Bucket holds nothing until SetRate is called. It is not safe for
// concurrent use.
type Bucket struct {
	perSecond  float64
	capacity   float64
	tokens     float64
	refilledAt time.Time
}

// SetRate changes the rate and the largest number of tokens. Tokens above that are dropped.
func (b *Bucket) SetRate(now time.Time, perSecond, capacity float64) {
	b.refill(now)
	b.perSecond, b.capacity = perSecond, capacity
	b.tokens = min(b.tokens, capacity)
}

// Tokens returns the number of tokens, which is negative in debt.
func (b *Bucket) Tokens(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// Take removes tokens, or adds those that are given back if n is negative.
func (b *Bucket) Take(now time.Time, n float64) {
	b.refill(now)
	b.tokens = min(b.tokens-n, b.capacity)
}

// Limit drops the tokens above a number.
func (b *Bucket) Limit(now time.Time, tokens float64) {
	b.refill(now)
	b.tokens = min(b.tokens, tokens)
}

// Until returns the time until the bucket holds a number of tokens, and at most limit.
func (b *Bucket) Until(now time.Time, tokens float64, limit time.Duration) time.Duration {
	missing := tokens - b.Tokens(now)
	if missing <= 0 {
		return 0
	}
	seconds := missing / b.perSecond
	if math.IsNaN(seconds) || seconds >= limit.Seconds() {
		return limit
	}
	return time.Duration(seconds * float64(time.Second))
}

// refill adds the tokens of the time since the last call. A clock that was set back adds
// none.
func (b *Bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	if b.perSecond > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.perSecond, b.capacity)
	}
}
