// Package availability decides whether an endpoint may be sent a request now. It holds
// the one list of reasons for which an endpoint is passed over, each with its end.
//
// A reason is binding or not. An endpoint with a binding reason gets no request, whatever
// that costs the caller; one with another reason is the last choice.
package availability

import (
	"time"

	"flamingospar.org/core/health"
)

// Reason says why an endpoint is passed over. It is also the name of a counter.
type Reason string

// The reasons, the strictest first.
const (
	None        Reason = ""
	Leaving     Reason = "leaving"       // It says so, or is listed so. Ends with its process.
	AskedToWait Reason = "asked_to_wait" // It refused a request and stated when it wants the next.
	RateLimited Reason = "rate_limited"  // The rate of requests that it states is used up.
	// Unregistered: its software version is not known to be registered, so no stream may
	// begin there. Ends when the version is registered.
	Unregistered Reason = "version_unregistered"
	Ejected      Reason = "ejected" // It failed requests or can't be reached.
	Busy         Reason = "busy"    // It refused a request for lack of capacity, or changes its stage.
)

// Binding reports whether the endpoint gets no request even if no other is left.
func (r Reason) Binding() bool {
	return r == Leaving || r == AskedToWait || r == RateLimited || r == Unregistered
}

// Exclusion is a reason for which an endpoint is passed over now.
type Exclusion struct {
	Reason Reason    // None if it is not passed over.
	Until  time.Time // When the reason ends; zero if that is not known.
}

// State is what this process knows of the availability of one endpoint. The zero State is
// that of an endpoint that may be used.
type State struct {
	Draining bool // It is listed as leaving.
	// Statement is what the endpoint said itself; nil for nothing.
	Statement *Statement
	// Unregistered is set while its software version is not known to be registered.
	Unregistered bool
	Health       health.Record
	// BackoffUntil is when new requests may be sent again after the endpoint refused one
	// for a reason that is not a failure.
	BackoffUntil time.Time
}

// PassOver returns the strictest reason for which the endpoint is passed over. The rate
// limit is shared by several processes and not part of the State: rateLimited says
// whether it is used up.
func (s *State) PassOver(now time.Time, rateLimited bool) Exclusion {
	switch {
	case s.Draining || s.Statement.IsLeaving():
		return Exclusion{Reason: Leaving}
	case s.Statement.waits(now):
		return Exclusion{Reason: AskedToWait, Until: s.Statement.waitUntil}
	case rateLimited:
		return Exclusion{Reason: RateLimited}
	case s.Unregistered:
		return Exclusion{Reason: Unregistered}
	case s.Health.Ejected(now):
		return Exclusion{Reason: Ejected, Until: s.Health.EjectedUntil()}
	case now.Before(s.BackoffUntil):
		return Exclusion{Reason: Busy, Until: s.BackoffUntil}
	default:
		return Exclusion{}
	}
}
