// Package rollout staggers a change over the endpoints of a pool. All processes
// compute the same delays, so that it needs no lease and works while the
// platform's store is down.
package rollout

import "time"

const (
	// concurrentShare is the share of a pool that changes at the same time, as one
	// group.
	concurrentShare = 0.1
	// GroupInterval is the time that the changes of one group are given before the
	// next group begins.
	GroupInterval = 30 * time.Second
)

// Delay returns how long the endpoint with a rank in a pool of the given size
// waits after it has learned of a change.
func Delay(rank, pool int) time.Duration {
	groupSize := max(1, int(concurrentShare*float64(pool)))
	return time.Duration(rank/groupSize) * GroupInterval
}
