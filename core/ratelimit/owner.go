package ratelimit

import (
	"slices"
	"time"
)

// The process that ranks first for an endpoint shares out its rate. Without a
// coordination service, processes may disagree about which of them are alive, so a
// substitute must not add a second whole rate to that of a process which it merely
// can't hear.
const (
	// takeoverTimeout is how long the owner must be silent before the process that ranks
	// next shares out a part of the rate in its place.
	takeoverTimeout = 2 * time.Second
	// goneTimeout is how long a process must be silent to count as gone: the next one has
	// its rank.
	goneTimeout = 15 * time.Second
	// substituteShare is the part of the rate that a substitute shares out until then.
	substituteShare = 0.5
)

// ShareToGrant returns the part of an endpoint's rate that a process shares out, given
// for how long each process that ranks higher has been silent. There is one substitute:
// where no process hears another, each further one would add its part to the others'.
func ShareToGrant(silences []time.Duration) float64 {
	remaining := slices.DeleteFunc(slices.Clone(silences), func(silence time.Duration) bool { return silence >= goneTimeout })
	switch {
	case len(remaining) == 0:
		return 1
	case len(remaining) == 1 && remaining[0] >= takeoverTimeout:
		return substituteShare
	default:
		return 0
	}
}
