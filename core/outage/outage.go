// Package outage decides when callers return to a process that can't serve them yet.
package outage

import "time"

// Times after which a caller returns to a process without a configuration.
const (
	// startingRetryAfter applies while the process is likely to be about to read it.
	startingRetryAfter = 500 * time.Millisecond
	// usualStart is how long a process that the store answers takes at most to read it.
	usualStart = 300 * time.Millisecond
	// minOutageRetryAfter and maxOutageRetryAfter bound the time if the store is silent.
	minOutageRetryAfter = 1500 * time.Millisecond
	maxOutageRetryAfter = 3 * time.Second
)

// RetryAfter returns the time after which a caller should return to a process that has had
// no configuration since it started that long ago. Most callers return only once. An outage
// of the store is expected to last as long again as it has lasted.
func RetryAfter(sinceStart time.Duration) time.Duration {
	if sinceStart < usualStart {
		return startingRetryAfter
	}
	return min(max(sinceStart, minOutageRetryAfter), maxOutageRetryAfter)
}
