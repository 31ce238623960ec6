package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"flamingospar.org/gateway/link"
	"flamingospar.org/platform/site"
)

// Reason says in a word why a request got no whole answer of an endpoint.
type Reason string

// The reasons, which are also the names of counters.
const (
	ReasonNone        Reason = ""
	ReasonNoEndpoint  Reason = "no_endpoint"    // None is listed, or all are resting.
	ReasonTooLate     Reason = "too_late"       // No engine can serve it while its caller waits.
	ReasonEndpointsNo Reason = "endpoints_full" // Endpoints refused it without running it.
	ReasonMayHaveRun  Reason = "may_have_run"   // It was sent and may not be repeated.
	ReasonAttempts    Reason = "attempts"       // No further attempt is allowed.
	ReasonDeadline    Reason = "deadline"
	ReasonCallerLeft  Reason = "caller_left"
	ReasonBroken      Reason = "broken_midway" // The answer had begun.
)

// Result is what one call to an endpoint came to.
type Result string

// The results of calls.
const (
	ResultRead     Result = "read"     // It read the prompt.
	ResultAnswered Result = "answered" // Its whole answer came.
	ResultFailed   Result = "failed"   // It answered with a failure of its own.
	ResultRefused  Result = "refused"  // It said that it did not run the request.
	ResultNotSent  Result = "not_sent" // The request can't have reached it.
	ResultBroken   Result = "broken"   // The connection ended, or it was silent for too long.
	ResultLeft     Result = "left"     // The caller left meanwhile.
)

// Call is one call to an endpoint for a job.
type Call struct {
	Endpoint string `json:"endpoint"`
	Result   Result `json:"result"`
	MS       int64  `json:"ms"`
}

// maxCalls bounds the calls that are kept of a job.
const maxCalls = 8

// called notes a call that began at a time and has ended now.
func (o *Outcome) called(endpoint string, began time.Time, result Result) {
	if len(o.Calls) < maxCalls {
		o.Calls = append(o.Calls, Call{Endpoint: endpoint, Result: result, MS: time.Since(began).Milliseconds()})
	}
}

// resultOf returns the result of a call that ended with an error.
func resultOf(ctx context.Context, err error) Result {
	switch {
	case errors.Is(err, link.ErrNotSent):
		return ResultNotSent
	case errors.Is(ctx.Err(), context.Canceled):
		return ResultLeft
	default:
		return ResultBroken
	}
}

// Outcome is what became of a job.
type Outcome struct {
	Reason   Reason
	Status   int // Sent to the caller; 0 when the answer was broken off or the caller left.
	Attempts int
	Calls    []Call        // In their order; at most maxCalls.
	Ran      bool          // An endpoint began it, or may have.
	First    time.Duration // Until the first byte of the answer was sent on.
	Endpoint string        // The last one it was sent to.
	Prefill  string        // The endpoint that read the prompt, if another.
	Err      error         // Of the last attempt.
	RetryIn  time.Duration // Told to the caller.
	Level    int           // Priority told to the endpoint.
	Fetched  int           // Prompt tokens that another engine was believed to hold; -1 for its home's, unknown.
	Prediction
}

// Prediction compares how long reading a prompt was expected to take with how
// long it took.
type Prediction struct {
	Predicted time.Duration
	Reading   time.Duration
	Decode    time.Duration // Until the first event of the endpoint that produces the tokens.
}

func (p *Prediction) note(predicted, took time.Duration) { p.Predicted, p.Reading = predicted, took }

// refuse answers a caller that its request has not run and when to come back.
func refuse(w http.ResponseWriter, job *Job, reason Reason, retryIn time.Duration) Outcome {
	site.SetRequestID(w.Header(), job.Caller.ID)
	site.SetRetryAfter(w.Header(), retryIn)
	http.Error(w, "not run: "+string(reason), http.StatusServiceUnavailable)
	return Outcome{Reason: reason, Status: http.StatusServiceUnavailable, RetryIn: retryIn}
}

// fail answers a caller that its request may have run.
func fail(w http.ResponseWriter, job *Job, reason Reason) Outcome {
	status := http.StatusBadGateway
	if reason == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	site.SetRequestID(w.Header(), job.Caller.ID)
	http.Error(w, "may have run: "+string(reason), status)
	return Outcome{Reason: reason, Status: status, Ran: true}
}
