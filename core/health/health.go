// Package health implements passive health checks of endpoints, based on the
// results of their requests. It covers two failure modes: an endpoint that is
// gone, where each attempt costs a timeout or a reset, and one that fails a share
// of its requests while it reports itself healthy.
package health

import "time"

// Parameters of the health checks.
const (
	// latestWeight is the weight of the latest request in the failure rate, an
	// exponentially weighted moving average.
	latestWeight = 0.15
	// ejectThreshold is the number of consecutive failures after which an
	// endpoint is ejected.
	ejectThreshold = 3
	// minEjection and maxEjection bound the ejection time, which doubles with
	// each further failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// maxDoublings keeps the shift of minEjection from overflowing.
	maxDoublings = 8
	// rateHalfLife is the time in which the failure rate of an unused endpoint is
	// halved.
	rateHalfLife = 5 * time.Second
	// negligibleRate is the failure rate at or below which decay stops.
	negligibleRate = 0.001
)

// Record is the health record of one endpoint. The zero Record is that of a
// healthy endpoint.
type Record struct {
	rate                float64 // Failure rate at updated.
	consecutiveFailures int
	ejectedUntil        time.Time
	updated             time.Time
}

// Succeeded records an answered request and ends an ejection.
func (r *Record) Succeeded(now time.Time) {
	r.rate = r.Rate(now) * (1 - latestWeight)
	r.consecutiveFailures = 0
	r.ejectedUntil = time.Time{}
	r.updated = now
}

// Failed records a request that failed through a fault of the endpoint.
func (r *Record) Failed(now time.Time) {
	r.rate = r.Rate(now)*(1-latestWeight) + latestWeight
	r.consecutiveFailures++
	r.updated = now
	if r.consecutiveFailures >= ejectThreshold {
		r.eject(now, r.consecutiveFailures-ejectThreshold)
	}
}

// Unreachable records that no connection could be opened, or that what was
// received is not an answer. It ejects the endpoint at once.
func (r *Record) Unreachable(now time.Time) {
	r.rate = r.Rate(now)*(1-latestWeight) + latestWeight
	r.consecutiveFailures++
	r.updated = now
	r.eject(now, r.consecutiveFailures-1)
}

func (r *Record) eject(now time.Time, doublings int) {
	ejection := min(minEjection<<min(doublings, maxDoublings), maxEjection)
	r.ejectedUntil = now.Add(ejection)
}

// Rate returns the share of recent requests that failed. It decays while the
// endpoint is not used.
func (r *Record) Rate(now time.Time) float64 {
	idle := now.Sub(r.updated)
	if r.updated.IsZero() || idle <= 0 {
		return r.rate
	}
	rate := r.rate
	for ; idle >= rateHalfLife && rate > negligibleRate; idle -= rateHalfLife {
		rate /= 2
	}
	return rate
}

// Ejected reports whether the endpoint should not be used while others are
// available.
func (r *Record) Ejected(now time.Time) bool { return now.Before(r.ejectedUntil) }

// EjectedUntil returns the end of the ejection; it has passed if the endpoint is not
// ejected.
func (r *Record) EjectedUntil() time.Time { return r.ejectedUntil }
