// Package health judges endpoints by what their requests came to. It answers
// two patterns: an endpoint that is gone, where each try costs a timeout or a
// reset, and one that fails a share of its requests while it calls itself well.
package health

import "time"

// Shape of the judgement.
const (
	// weight is the share of the latest request in the failure rate.
	weight = 0.15
	// trip is the number of failures in a row after which an endpoint rests.
	trip = 3
	// minRest and maxRest bound the rest, which doubles with each failure that follows.
	minRest = 500 * time.Millisecond
	maxRest = 4 * time.Second
	// forget halves the failure rate of an endpoint that is not used.
	forget = 5 * time.Second
)

// Record is what is known of one endpoint. The zero Record is of a sound one.
type Record struct {
	rate      float64 // Share of the recent requests that failed.
	inRow     int
	restUntil time.Time
	updated   time.Time
}

// Succeeded notes an answer.
func (r *Record) Succeeded(now time.Time) {
	r.rate = r.Rate(now) * (1 - weight)
	r.inRow = 0
	r.restUntil = time.Time{}
	r.updated = now
}

// Failed notes a request that the endpoint failed by its own fault.
func (r *Record) Failed(now time.Time) {
	r.rate = r.Rate(now)*(1-weight) + weight
	r.inRow++
	r.updated = now
	if r.inRow >= trip {
		r.rest(now, r.inRow-trip)
	}
}

// Unreachable notes that no connection could be opened, or that what came was no
// answer at all: the endpoint rests at once.
func (r *Record) Unreachable(now time.Time) {
	r.rate = r.Rate(now)*(1-weight) + weight
	r.inRow++
	r.updated = now
	r.rest(now, r.inRow-1)
}

func (r *Record) rest(now time.Time, doublings int) {
	rest := min(minRest<<min(doublings, 8), maxRest)
	r.restUntil = now.Add(rest)
}

// Rate returns the share of recent requests that failed, which fades with time.
func (r *Record) Rate(now time.Time) float64 {
	idle := now.Sub(r.updated)
	if r.updated.IsZero() || idle <= 0 {
		return r.rate
	}
	rate := r.rate
	for ; idle >= forget && rate > 0.001; idle -= forget {
		rate /= 2
	}
	return rate
}

// Resting reports whether the endpoint should be left alone while others can be had.
func (r *Record) Resting(now time.Time) bool { return now.Before(r.restUntil) }
