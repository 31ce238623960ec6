// Package refusal names every reason for which a request is refused or a run
// ends badly, with the answer that the caller gets.
package refusal

import (
	"fmt"
	"time"
)

// Outcome says what is known about the run behind a request.
type Outcome int

// The three ends of a run.
const (
	// NotRun is said only with proof that no endpoint began the run.
	NotRun Outcome = iota
	// Ran means that the endpoint finished the run and its answer is known.
	Ran
	// Unknown means that the run may or may not have taken effect.
	Unknown
)

// String returns the value of the Flamingospar-Outcome header.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Code identifies a reason in error bodies, counters, logs and explanations.
type Code string

// Reason describes a code: the HTTP status, the error type of the OpenAI-shaped
// body and the remedy that its message names.
type Reason struct {
	Status int
	Type   string
	Remedy string
}

// Error types of the OpenAI-shaped error body.
const (
	typeInvalid     = "invalid_request_error"
	typeAuth        = "authentication_error"
	typePermission  = "permission_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "service_unavailable_error"
	typeTimeout     = "timeout_error"
	typeConflict    = "conflict_error"
)

// Refusal is the typed error that ends a request.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Detail     string        // What exactly was wrong, without the remedy.
	Param      string        // The request field at fault, if it is one.
	RetryAfter time.Duration // Zero: no Retry-After header.
}

// New returns a refusal whose run provably never began.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a refusal whose run may have taken effect.
func NewUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy that tells the caller when to come back.
func (r *Refusal) After(wait time.Duration) *Refusal {
	waited := *r
	waited.RetryAfter = wait
	return &waited
}

// In returns a copy that names the request field at fault.
func (r *Refusal) In(param string) *Refusal {
	named := *r
	named.Param = param
	return &named
}

// Reason returns the description of the refusal's code.
func (r *Refusal) Reason() Reason { return Reasons[r.Code] }

// Error implements error: detail, then remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", r.Code, r.Detail, r.Reason().Remedy)
}
