// Package retrybudget bounds the number of retries of a service. The bound holds
// for the whole system without a shared counter, since each process applies the
// ratio to its own requests and has its own share of the allowance. It prevents
// retries from multiplying the load on the remaining endpoints when many fail at
// once.
package retrybudget

import "time"

// Settings configures a Budget.
type Settings struct {
	Window    time.Duration // Length of the sliding window.
	Ratio     float64       // Retries per request in a window.
	Allowance float64       // Retries of this process in a window, in addition to the ratio.
}

// bucketsPerWindow is the number of buckets that a window is divided into.
const bucketsPerWindow = 20

// safetyFactor is the share of the bound that is used. The rest allows for other
// observers, which count the same requests and retries at other times.
const safetyFactor = 0.8

// Budget counts requests and retries of one service in a sliding window. It is
// not safe for concurrent use.
type Budget struct {
	settings Settings
	// startedAt is the time of the first call. Bucket numbers count from it by the
	// monotonic clock, so that wall clock changes have no effect.
	startedAt time.Time
	buckets   [bucketsPerWindow + 1]bucket
}

type bucket struct {
	number   int64
	requests int
	retries  int
}

// New returns a Budget that has counted no requests.
func New(settings Settings) *Budget { return &Budget{settings: settings} }

// Set changes the settings. The counts are kept unless the window changes.
func (b *Budget) Set(settings Settings) {
	if settings.Window != b.settings.Window {
		b.buckets = [bucketsPerWindow + 1]bucket{}
	}
	b.settings = settings
}

// AddRequest counts a request of a caller, excluding its retries.
func (b *Budget) AddRequest(now time.Time) { b.bucketAt(now).requests++ }

// Take reports whether a number of calls beyond a request's first may be sent
// now, and if so counts them as retries.
func (b *Budget) Take(now time.Time, calls int) bool {
	requests, retries := b.totals(now)
	allowed := safetyFactor * (b.settings.Ratio*float64(requests) + b.settings.Allowance)
	if float64(retries+calls) > allowed {
		return false
	}
	b.bucketAt(now).retries += calls
	return true
}

func (b *Budget) totals(now time.Time) (requests, retries int) {
	newest := b.bucketNumber(now)
	for _, bucket := range b.buckets {
		if newest-bucket.number <= bucketsPerWindow {
			requests += bucket.requests
			retries += bucket.retries
		}
	}
	return requests, retries
}

func (b *Budget) bucketNumber(now time.Time) int64 {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	return bucketsPerWindow + 1 + int64(now.Sub(b.startedAt))/max(int64(b.settings.Window)/bucketsPerWindow, 1)
}

func (b *Budget) bucketAt(now time.Time) *bucket {
	number := b.bucketNumber(now)
	current := &b.buckets[number%(bucketsPerWindow+1)]
	if current.number != number {
		*current = bucket{number: number}
	}
	return current
}
