package ratelimit

import "time"

// The process that ranks first for an endpoint shares out its rate. Without a
// coordination service, processes may disagree about which of them are alive, so a
// substitute must not add a second whole rate to that of a process which it merely
// can't hear.
const (
	// takeoverTimeout is how long all processes that rank higher must be silent before
	// a process shares out a part of the rate in their place.
	takeoverTimeout = 2 * time.Second
	// goneTimeout is how long they must be silent before it shares out the whole rate.
	goneTimeout = 15 * time.Second
	// substituteShare is the part of the rate that a substitute shares out until then.
	substituteShare = 0.5
)

// ShareToGrant returns the part of an endpoint's rate that a process shares out, given
// for how long each process that ranks higher has been silent.
func ShareToGrant(silences []time.Duration) float64 {
	shortest := goneTimeout
	for _, silence := range silences {
		shortest = min(shortest, silence)
	}
	switch {
	case shortest >= goneTimeout:
		return 1
	case shortest >= takeoverTimeout:
		return substituteShare
	default:
		return 0
	}
}
