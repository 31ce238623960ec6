package outage

import "time"

// Times after which a caller returns whose stream no engine can go on with.
const (
	// minCrashRetryAfter is the least time: an engine takes longer to start again.
	minCrashRetryAfter = 700 * time.Millisecond
	// maxCrashRetryAfter is about how long an engine takes to start again, or another one to take
	// its place.
	maxCrashRetryAfter = 4 * time.Second
	// waitDivisor gives the share of the time left to it that a caller waits at most.
	waitDivisor = 3
)

// RetryAfterCrash returns the time after which a caller should return whose request only engines
// that crashed could serve. left is the time left to the caller, and spread the limit of the random
// time that is added so that callers don't return at the same moment. When an engine is back is not
// known, and most callers return only once, so they return as late as they wait at all.
func RetryAfterCrash(left, spread time.Duration) time.Duration {
	return min(max(left/waitDivisor-spread, minCrashRetryAfter), maxCrashRetryAfter)
}
