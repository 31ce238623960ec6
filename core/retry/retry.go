// Package retry decides whether a request is attempted again after an attempt
// has ended: only with proof that nothing ran, or when the request may be
// repeated, within its deadline and within a budget.
package retry

import (
	"time"

	"flamingospar.org/core/refusal"
)

// Limits of one request's attempts.
const (
	MaxAttempts = 4
	// MaxHandovers bounds the attempts that leaving endpoints handed over.
	MaxHandovers = 8
	baseBackoff  = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// minRemaining is the least time in which an attempt is worth starting.
	minRemaining = 50 * time.Millisecond
)

// Ended describes an attempt that has ended without a whole answer.
type Ended struct {
	Outcome    refusal.Outcome
	Code       refusal.Code
	Repeatable bool
	// Resumable says that an engine can continue the answer after what came.
	Resumable bool
	// Received says that a part of the answer has come.
	Received  bool
	Attempts  int // Including the one that ended, without handovers.
	Handovers int
	Remaining time.Duration // Until the deadline.
	Jitter    float64       // In [0, 1).
}

// Kind says how the next attempt starts.
type Kind int

// The kinds of a next attempt.
const (
	None     Kind = iota // No further attempt.
	Again                // From the start.
	Resume               // After the part of the answer that has come.
	Handover             // From the start, at once, outside the budget.
)

// Denial says why there is no further attempt.
type Denial string

// The denials.
const (
	DeniedFinal     Denial = "final"          // The refusal holds at each endpoint.
	DeniedMayHave   Denial = "may_have_run"   // The request may not be repeated.
	DeniedPartial   Denial = "partial_answer" // What came cannot be continued.
	DeniedAttempts  Denial = "attempts"
	DeniedDeadline  Denial = "deadline"
	DeniedBudget    Denial = "budget"
	DeniedNoneReady Denial = "no_endpoint"
)

// Decision is what follows an ended attempt.
type Decision struct {
	Kind    Kind
	Backoff time.Duration
	Denied  Denial // Set when Kind is None.
}

// finalCodes are refusals that no other endpoint would lift.
var finalCodes = map[refusal.Code]bool{
	refusal.RequestCrashes:     true,
	refusal.DeadlineExceeded:   true,
	refusal.RunExpired:         true,
	refusal.RunDuplicate:       true,
	refusal.RunCancelled:       true,
	refusal.CallerLeft:         true,
	refusal.EndpointRejected:   true,
	refusal.ResumeInconsistent: true,
	refusal.BodyInvalid:        true,
	refusal.KeyUnknown:         true,
}

// handoverCodes are refusals of endpoints that leave or change as planned.
var handoverCodes = map[refusal.Code]bool{
	refusal.Draining:         true,
	refusal.EndpointChanging: true,
	refusal.RunOtherInstance: true,
	refusal.WrongEndpoint:    true,
}

// Decide returns what follows ended. The budget is asked by the caller.
func Decide(ended Ended) Decision {
	if finalCodes[ended.Code] {
		return Decision{Denied: DeniedFinal}
	}
	kind, denied := kindOf(ended)
	if kind == None {
		return Decision{Denied: denied}
	}
	if kind == Handover {
		return bounded(Decision{Kind: kind}, ended)
	}
	if ended.Attempts >= MaxAttempts {
		return Decision{Denied: DeniedAttempts}
	}
	return bounded(Decision{Kind: kind, Backoff: Backoff(ended.Attempts, ended.Jitter)}, ended)
}

func kindOf(ended Ended) (Kind, Denial) {
	switch {
	case ended.Received && ended.Resumable:
		return Resume, ""
	case ended.Received:
		return None, DeniedPartial
	case ended.Outcome == refusal.NotRun && handoverCodes[ended.Code] && ended.Handovers < MaxHandovers:
		return Handover, ""
	case ended.Outcome == refusal.NotRun:
		return Again, ""
	case ended.Repeatable:
		return Again, ""
	default:
		return None, DeniedMayHave
	}
}

func bounded(decision Decision, ended Ended) Decision {
	if ended.Remaining-decision.Backoff < minRemaining {
		return Decision{Denied: DeniedDeadline}
	}
	return decision
}

// Backoff returns the wait after attempt number attempts, doubled for each one
// and spread by jitter over its upper half.
func Backoff(attempts int, jitter float64) time.Duration {
	full := min(baseBackoff<<max(0, attempts-1), maxBackoff)
	return full/2 + time.Duration(jitter*float64(full/2))
}
