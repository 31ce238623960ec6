// Package refusal lists every reason for which a request is refused or a run
// fails, and the answer that the caller gets.
package refusal

import (
	"fmt"
	"time"
)

// Outcome says what is known about the run of a request.
type Outcome int

// The outcomes of a run.
const (
	// NotRun is used only with proof that no endpoint began the run.
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

// Reason describes a code: the HTTP status, the error type in the
// OpenAI-compatible body and the remedy in its message.
type Reason struct {
	Status int
	Type   string
	Remedy string
}

// Error types of the OpenAI-compatible error body.
const (
	typeInvalid     = "invalid_request_error"
	typeAuth        = "authentication_error"
	typePermission  = "permission_error"
	typeRateLimit   = "rate_limit_error"
	typeUnavailable = "service_unavailable_error"
	typeTimeout     = "timeout_error"
	typeConflict    = "conflict_error"
)

// Refusal is the error that ends a request.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Detail     string        // What was wrong, without the remedy.
	Param      string        // The invalid request field, if there is one.
	RetryAfter time.Duration // Zero means no Retry-After header.
}

// New returns a refusal for a run that provably never began.
func New(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// NewUnknown returns a refusal for a run that may have taken effect.
func NewUnknown(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Outcome: Unknown, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with wait as the time after which the caller may retry.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	copied := *r
	copied.RetryAfter = wait
	return &copied
}

// WithParam returns a copy that names the invalid request field.
func (r *Refusal) WithParam(param string) *Refusal {
	copied := *r
	copied.Param = param
	return &copied
}

// Reason returns the description of the refusal's code.
func (r *Refusal) Reason() Reason { return Reasons[r.Code] }

// Error returns the code, the detail and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", r.Code, r.Detail, r.Reason().Remedy)
}
