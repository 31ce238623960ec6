// Package refusal names every reason for which a request is refused or a run
// ends badly, with the answer that the caller gets.
package refusal

import (
	"fmt"
	"net/http"
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

// The codes.
const (
	KeyMissing       Code = "key_missing"
	KeyMalformed     Code = "key_malformed"
	KeyUnknown       Code = "key_unknown"
	BodyTooLarge     Code = "body_too_large"
	BodyInvalid      Code = "body_invalid"
	BodySlow         Code = "body_slow"
	RouteUnknown     Code = "route_unknown"
	ModelUnknown     Code = "model_unknown"
	NoEndpoint       Code = "no_endpoint"
	QueueFull        Code = "queue_full"
	EndpointFailed   Code = "endpoint_failed"
	RunDuplicate     Code = "run_duplicate"
	RunExpired       Code = "run_expired"
	DeadlineExceeded Code = "deadline_exceeded"
	ConfigStale      Code = "config_stale"
	Draining         Code = "draining"
)

// Reasons describes each code. docs/REASONS.md lists the same codes.
var Reasons = map[Code]Reason{
	KeyMissing:       {http.StatusUnauthorized, typeAuth, "send the team's key once, as Authorization: Bearer KEY"},
	KeyMalformed:     {http.StatusUnauthorized, typeAuth, "send exactly one Authorization header of the form Bearer KEY and no key in the query"},
	KeyUnknown:       {http.StatusUnauthorized, typeAuth, "ask an operator for a new key; this one was withdrawn or never issued"},
	BodyTooLarge:     {http.StatusRequestEntityTooLarge, typeInvalid, "send a body below the entry's limit"},
	BodyInvalid:      {http.StatusUnprocessableEntity, typeInvalid, "correct the field that the message names"},
	BodySlow:         {http.StatusRequestTimeout, typeTimeout, "send the body faster or raise the route's deadline"},
	RouteUnknown:     {http.StatusNotFound, typeInvalid, "use a path that the catalogue names"},
	ModelUnknown:     {http.StatusNotFound, typeInvalid, "use a model that GET /v1/models lists"},
	NoEndpoint:       {http.StatusServiceUnavailable, typeUnavailable, "come back after Retry-After; no endpoint can take the request now"},
	QueueFull:        {http.StatusTooManyRequests, typeRateLimit, "come back after Retry-After; the queues before the endpoints are full"},
	EndpointFailed:   {http.StatusBadGateway, typeUnavailable, "the endpoint failed during the run; repeat only if the request may be repeated"},
	RunDuplicate:     {http.StatusConflict, typeConflict, "the run was seen before and is not run again"},
	RunExpired:       {http.StatusGatewayTimeout, typeTimeout, "send the request again; it reached the endpoint after its deadline"},
	DeadlineExceeded: {http.StatusGatewayTimeout, typeTimeout, "send the request again with a longer deadline, or come back after Retry-After"},
	ConfigStale:      {http.StatusServiceUnavailable, typeUnavailable, "come back after Retry-After; this process cannot show that its configuration is current"},
	Draining:         {http.StatusServiceUnavailable, typeUnavailable, "send the request again; this process is stopping"},
}

// Refusal is the typed error that ends a request.
type Refusal struct {
	Code       Code
	Outcome    Outcome
	Detail     string        // What exactly was wrong, without the remedy.
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

// Reason returns the description of the refusal's code.
func (r *Refusal) Reason() Reason { return Reasons[r.Code] }

// Error implements error: detail, then remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s; remedy: %s", r.Code, r.Detail, r.Reason().Remedy)
}
