// Package turns settles in which order the endpoints of a data centre are taken
// away for a change, by a rule that all processes compute alike, without a
// lease and with the platform's store down.
package turns

import (
	"time"

	"flamingospar.org/core/member"
)

const (
	// AtOnce is how many endpoints of a data centre change at the same time.
	AtOnce = 2
	// Slot is the time that one change is given before the next begins.
	Slot = 60 * time.Second
)

// Rank returns how many of members come before self in the order for key.
func Rank(key, self string, members []string) int {
	own := member.Weight(key, self)
	ahead := 0
	for _, other := range members {
		weight := member.Weight(key, other)
		if weight > own || weight == own && other < self {
			ahead++
		}
	}
	return ahead
}

// HoldOff returns how long the endpoint with a rank waits after it has learned
// of a change.
func HoldOff(rank int) time.Duration {
	return time.Duration(rank/AtOnce) * Slot
}
