// Package retrybudget bounds how many requests are sent to an endpoint more
// than once. The bound holds for the whole system without a shared counter:
// each process takes its share of the allowance and its own requests' ratio.
// It answers the pattern in which many endpoints fail at once and retries
// multiply the load on those that are left.
package retrybudget

import "time"

// Settings of a budget.
type Settings struct {
	Window    time.Duration // Length of the sliding window that the bound holds for.
	Ratio     float64       // Retries per request in a window.
	Allowance float64       // Retries in a window beside the ratio, of this process.
}

// buckets is how many parts a window is counted in.
const buckets = 20

// safety is the share of the bound that is used, since requests and retries
// are counted by others at other times.
const safety = 0.8

// Budget counts requests and retries of one service in a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	settings Settings
	since    time.Time // Of the first call; times count from there, so that no set wall clock moves them.
	counts   [buckets + 1]bucket
}

type bucket struct {
	number   int64
	requests int
	retries  int
}

// New returns a budget without any request.
func New(settings Settings) *Budget { return &Budget{settings: settings} }

// Set changes the bound; what was counted stays.
func (b *Budget) Set(settings Settings) {
	if settings.Window != b.settings.Window {
		b.counts = [buckets + 1]bucket{}
	}
	b.settings = settings
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) { b.at(now).requests++ }

// Take reports whether a number of calls beyond a request's first may be sent
// now, and counts them.
func (b *Budget) Take(now time.Time, calls int) bool {
	requests, retries := b.totals(now)
	allowed := safety * (b.settings.Ratio*float64(requests) + b.settings.Allowance)
	if float64(retries+calls) > allowed {
		return false
	}
	b.at(now).retries += calls
	return true
}

func (b *Budget) totals(now time.Time) (requests, retries int) {
	newest := b.number(now)
	for _, bucket := range b.counts {
		if newest-bucket.number <= buckets {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return requests, retries
}

func (b *Budget) number(now time.Time) int64 {
	if b.since.IsZero() {
		b.since = now
	}
	return buckets + 1 + int64(now.Sub(b.since))/max(int64(b.settings.Window)/buckets, 1)
}

func (b *Budget) at(now time.Time) *bucket {
	number := b.number(now)
	at := &b.counts[number%(buckets+1)]
	if at.number != number {
		*at = bucket{number: number}
	}
	return at
}
