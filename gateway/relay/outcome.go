package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// Reason states why a request got no complete response from an endpoint.
type Reason string

// The reasons, which are also names of counters.
const (
	ReasonNone          Reason = ""
	ReasonNoEndpoint    Reason = "no_endpoint"       // None is listed, or none accepts requests.
	ReasonTooLate       Reason = "too_late"          // No engine can serve it before its caller stops waiting.
	ReasonRateLimited   Reason = "rate_limited"      // The rate limits of all endpoints left are used up.
	ReasonAskedToWait   Reason = "asked_to_wait"     // All endpoints left have asked to be sent nothing for a time.
	ReasonEndpointsFull Reason = "endpoints_full"    // All endpoints tried refused it without running it.
	ReasonCrashes       Reason = "crashes_endpoints" // It, or a part of its prompt, crashes endpoints.
	ReasonMayHaveRun    Reason = "may_have_run"      // It was sent and is not retried.
	ReasonAttempts      Reason = "attempts"          // The attempts are used up.
	ReasonDeadline      Reason = "deadline"
	ReasonStopping      Reason = "stopping" // This process stops before it could have the whole answer.
	ReasonCallerLeft    Reason = "caller_left"
	ReasonBroken        Reason = "broken_midway" // The response had begun.
	// ReasonVersionUnknown: it takes up a stream of which the version of the engines that
	// began it can't be known.
	ReasonVersionUnknown Reason = "version_unknown"
	// ReasonVersionGone: no endpoint serves the version that began the stream it takes up.
	ReasonVersionGone Reason = "version_gone"
	// ReasonVersionUnregistered: the versions of the endpoints left are not registered yet.
	ReasonVersionUnregistered Reason = "version_unregistered"
)

// Result is the result of one call to an endpoint.
type Result string

// The results of calls.
const (
	ResultPrefilled  Result = "read"        // The prefill is done.
	ResultAnswered   Result = "answered"    // The response was received completely.
	ResultFailed     Result = "failed"      // The endpoint responded with an error.
	ResultRefused    Result = "refused"     // The endpoint responded that it did not run the request.
	ResultLimited    Result = "limited"     // Not sent: the endpoint's rate limit was used up.
	ResultPassedOver Result = "passed_over" // Not sent: the endpoint had just said that it wants no request.
	ResultNotSent    Result = "not_sent"    // The request can't have reached the endpoint.
	ResultBroken     Result = "broken"      // The connection was lost or timed out.
	ResultNoStream   Result = "no_stream"   // The endpoint responded with something else than the stream asked for.
	ResultEmpty      Result = "empty"       // The endpoint said that no event is left.
	ResultSilent     Result = "silent"      // This process ended the call after a silence of the endpoint.
	ResultOutrun     Result = "outrun"      // Another call of the same request went on.
	ResultStopped    Result = "stopped"     // This process stopped during the call.
	ResultCallerLeft Result = "left"        // The caller disconnected during the call.
)

// errSilent is the cause with which this process ends the call of a silent endpoint.
var errSilent = errors.New("the endpoint was silent for too long, so its call was ended; remedy: look at the endpoint, and at retry_denied_budget")

// Call is one call to an endpoint for a job.
type Call struct {
	Endpoint string `json:"endpoint"`
	Result   Result `json:"result"`
	MS       int64  `json:"ms"`
	Events   int    `json:"events,omitempty"`   // Received from the endpoint.
	Software string `json:"software,omitempty"` // Version of the endpoint's software, if it runs models.
}

// maxCalls is the number of calls that are recorded per job.
const maxCalls = 8

// recordCall records a call that has just ended.
func (o *Outcome) recordCall(endpoint string, start time.Time, result Result) {
	o.recordStreamCall(endpoint, start, result, 0)
}

// recordStreamCall records a call that has just ended after a number of events.
func (o *Outcome) recordStreamCall(endpoint string, start time.Time, result Result, events int) {
	if len(o.Calls) < maxCalls {
		o.Calls = append(o.Calls, Call{Endpoint: endpoint, Result: result, MS: time.Since(start).Milliseconds(), Events: events, Software: o.software[endpoint]})
	}
}

// endedSilent reports whether the last call was ended after a silence of its endpoint.
func (o *Outcome) endedSilent() bool {
	return len(o.Calls) > 0 && o.Calls[len(o.Calls)-1].Result == ResultSilent
}

// resultOfError returns the result of a call that failed with err.
func resultOfError(ctx context.Context, err error) Result {
	switch {
	case errors.Is(err, errRateLimited):
		return ResultLimited
	case heldBack(err):
		return ResultPassedOver
	case errors.Is(err, transport.ErrNotSent):
		return ResultNotSent
	case errors.Is(err, errNoStream):
		return ResultNoStream
	case errors.Is(err, errNothingLeft):
		return ResultEmpty
	case errors.Is(context.Cause(ctx), errOutrun):
		return ResultOutrun
	case errors.Is(context.Cause(ctx), errSilent):
		return ResultSilent
	case answersEnded(ctx):
		return ResultStopped
	case errors.Is(ctx.Err(), context.Canceled):
		return ResultCallerLeft
	default:
		return ResultBroken
	}
}

// Outcome is the outcome of a job.
type Outcome struct {
	Reason          Reason
	Status          int // Sent to the caller; 0 if none was.
	Attempts        int
	Calls           []Call             // In order; at most maxCalls.
	MayHaveRun      bool               // An endpoint began to run the request, or may have.
	TimeToFirstByte time.Duration      // Until the response to the caller began.
	Endpoint        string             // The last endpoint selected.
	PrefillEndpoint string             // The endpoint that ran the prefill, if another.
	Err             error              // Error of the last failed attempt.
	RetryAfter      time.Duration      // As sent to the caller; 0 if none was.
	Level           int                // Priority level sent to the endpoint.
	FetchedTokens   int                // Prompt tokens known to be cached at the engine to fetch from; -1 if their number is unknown.
	PassedOver      engines.PassedOver // By the last selection.
	// VersionGone describes the engines of the version at which the stream had to go on, if
	// none of them could.
	VersionGone *VersionGone
	Timing

	software map[string]string // Versions of the software of the endpoints selected, by ID.
}

// VersionGone is a software version of which no engine could go on with a stream.
type VersionGone struct {
	Version string
	Engines engines.VersionEngines
}

// Timing holds the predicted and measured times of a prompt.
type Timing struct {
	PredictedPrefill time.Duration
	MeasuredPrefill  time.Duration
	TimeToFirstEvent time.Duration // At the decode engine.
}

func (t *Timing) setPrefill(predicted, measured time.Duration) {
	t.PredictedPrefill, t.MeasuredPrefill = predicted, measured
}

// NothingRan reports whether no endpoint can have run any part of the request, a prefill
// included.
func (o *Outcome) NothingRan() bool {
	if o.MayHaveRun || len(o.Calls) == maxCalls {
		return false // Further calls are not recorded.
	}
	for _, call := range o.Calls {
		switch call.Result {
		case ResultRefused, ResultLimited, ResultPassedOver, ResultNotSent:
		default:
			return false
		}
	}
	return true
}

// respondNotRun responds that the request did not run and when to retry.
func respondNotRun(w http.ResponseWriter, job *Job, reason Reason, retryAfter time.Duration) Outcome {
	site.SetRequestID(w.Header(), job.Caller.ID)
	site.SetRetryAfter(w.Header(), retryAfter)
	http.Error(w, "not run: "+string(reason), http.StatusServiceUnavailable)
	return Outcome{Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// respondMayHaveRun responds that the request may have run.
func respondMayHaveRun(w http.ResponseWriter, job *Job, reason Reason) Outcome {
	status := http.StatusBadGateway
	if reason == ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	site.SetRequestID(w.Header(), job.Caller.ID)
	http.Error(w, "may have run: "+string(reason), status)
	return Outcome{Reason: reason, Status: status, MayHaveRun: true}
}
