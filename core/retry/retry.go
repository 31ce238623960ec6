// Package retry decides whether a request is attempted again after an attempt
// has ended. An attempt follows only if it is proven that nothing ran, if the
// request may be repeated, or if a partial answer can be resumed, and only within
// the request's deadline and a retry budget.
package retry

import (
	"time"

	"flamingospar.org/core/refusal"
)

// Limits of one request's attempts.
const (
	MaxAttempts = 4
	// MaxHandovers is the maximum number of attempts that endpoints hand over
	// because they drain or change.
	MaxHandovers = 8
	baseBackoff  = 20 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// minRemaining is the time before the deadline below which no attempt is
	// started.
	minRemaining = 50 * time.Millisecond
)

// EndedAttempt describes an attempt that has ended without a complete answer.
type EndedAttempt struct {
	Outcome    refusal.Outcome
	Code       refusal.Code
	Repeatable bool
	// Resumable reports that an engine can continue the partial answer.
	Resumable bool
	// Received reports that a part of the answer was received.
	Received  bool
	Attempts  int // Including the one that ended, excluding handovers.
	Handovers int
	Remaining time.Duration // Until the deadline.
	Jitter    float64       // In [0, 1).
}

// Kind is the kind of the next attempt.
type Kind int

// The kinds of the next attempt.
const (
	None     Kind = iota // No further attempt.
	Restart              // From the start, after a backoff.
	Resume               // Continues the partial answer.
	Handover             // From the start, without backoff and outside the budget.
)

// Denial is the reason why there is no further attempt.
type Denial string

// The denials.
const (
	DeniedFinal         Denial = "final"          // Every endpoint would refuse the request.
	DeniedMayHaveRun    Denial = "may_have_run"   // It may have run and may not be repeated.
	DeniedPartialAnswer Denial = "partial_answer" // The partial answer cannot be resumed.
	DeniedAttempts      Denial = "attempts"
	DeniedDeadline      Denial = "deadline"
	DeniedBudget        Denial = "budget"
	DeniedNoEndpoint    Denial = "no_endpoint"
)

// Decision is the decision on the next attempt.
type Decision struct {
	Kind    Kind
	Backoff time.Duration
	Denied  Denial // Set when Kind is None.
}

// finalCodes are the refusals that no other endpoint would answer differently.
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

// handoverCodes are the refusals of endpoints that drain or change as planned.
var handoverCodes = map[refusal.Code]bool{
	refusal.Draining:         true,
	refusal.EndpointChanging: true,
	refusal.RunOtherInstance: true,
	refusal.WrongEndpoint:    true,
}

// Decide returns the decision on the attempt after ended. The caller checks the
// budget.
func Decide(ended EndedAttempt) Decision {
	if finalCodes[ended.Code] {
		return Decision{Denied: DeniedFinal}
	}
	kind, denied := nextKind(ended)
	if kind == None {
		return Decision{Denied: denied}
	}
	if kind == Handover {
		return withinDeadline(Decision{Kind: kind}, ended)
	}
	if ended.Attempts >= MaxAttempts {
		return Decision{Denied: DeniedAttempts}
	}
	return withinDeadline(Decision{Kind: kind, Backoff: Backoff(ended.Attempts, ended.Jitter)}, ended)
}

func nextKind(ended EndedAttempt) (Kind, Denial) {
	switch {
	case ended.Received && ended.Resumable:
		return Resume, ""
	case ended.Received:
		return None, DeniedPartialAnswer
	case ended.Outcome == refusal.NotRun && handoverCodes[ended.Code] && ended.Handovers < MaxHandovers:
		return Handover, ""
	case ended.Outcome == refusal.NotRun:
		return Restart, ""
	case ended.Repeatable:
		return Restart, ""
	default:
		return None, DeniedMayHaveRun
	}
}

func withinDeadline(decision Decision, ended EndedAttempt) Decision {
	if ended.Remaining-decision.Backoff < minRemaining {
		return Decision{Denied: DeniedDeadline}
	}
	return decision
}

// Backoff returns the delay after a number of attempts. It doubles with each
// attempt, and jitter distributes it over its upper half.
func Backoff(attempts int, jitter float64) time.Duration {
	full := min(baseBackoff<<max(0, attempts-1), maxBackoff)
	return full/2 + time.Duration(jitter*float64(full/2))
}
