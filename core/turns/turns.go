// Package turns settles in which order the endpoints of a pool are taken away
// for a change, by a rule that all processes compute alike, without a lease and
// with the platform's store down.
package turns

import "time"

const (
	// atOnce is the share of a pool that changes at the same time.
	atOnce = 0.1
	// Slot is the time that one change is given before the next begins.
	Slot = 30 * time.Second
)

// HoldOff returns how long the endpoint with a rank in a pool waits after it
// has learned of a change.
func HoldOff(rank, pool int) time.Duration {
	together := max(1, int(atOnce*float64(pool)))
	return time.Duration(rank/together) * Slot
}
