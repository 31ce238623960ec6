package ingress

import (
	"fmt"
	"runtime/debug"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/relay"
)

// Rate limits of the lines about requests, so that a flood of requests costs little.
const (
	// maxOrdinaryPerSec bounds the lines per second about requests that are answered
	// in time at the first attempt.
	maxOrdinaryPerSec = 4
	// maxUnusualPerSec bounds those about refused, failed, retried and late requests.
	maxUnusualPerSec = 60
)

var log = logging.For("gateway/request")

// RequestLog writes a log line for each request, up to the rate limits. Omitted lines
// are counted in the next one.
type RequestLog struct {
	// Endpoints returns the state of the list of endpoints.
	Endpoints func() EndpointsState

	budget logging.LineBudget
}

// EndpointsState is the state of the list of endpoints of this process.
type EndpointsState struct {
	Era     int64 // Of the store that gave out the version.
	Version int64
	Age     time.Duration
}

// allowLine reports whether a line may be written, and how many were omitted before
// it.
func (l *RequestLog) allowLine(unusual bool) (bool, int) {
	if unusual {
		return l.budget.Allow("unusual", maxUnusualPerSec)
	}
	return l.budget.Allow("ordinary", maxOrdinaryPerSec)
}

// Refused logs a request that was not run.
func (l *RequestLog) Refused(id string, refused refusal, version int64, duration time.Duration) {
	ok, omitted := l.allowLine(true)
	if !ok {
		return
	}
	log.Info("A request was refused.", "request", id, "status", refused.status, "reason", refused.reason, "part", refused.part, "team", refused.team, "units", refused.units, "retry_in_ms", refused.retryIn.Milliseconds(), "configuration", version, "ms", duration.Milliseconds(), "lines_omitted", omitted)
}

// maxStackBytes bounds the stack trace in a log line.
const maxStackBytes = 4 << 10

// Panicked logs a request whose handling panicked.
func (l *RequestLog) Panicked(id string, recovered any) {
	ok, omitted := l.allowLine(true)
	if !ok {
		return
	}
	stack := debug.Stack()
	log.Error(fmt.Errorf("panic: %v; remedy: report the stack trace, it is a bug in this program", recovered), "A request was given up and its connection closed.",
		"request", id, "stack", string(stack[:min(len(stack), maxStackBytes)]), "lines_omitted", omitted)
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// maxLoggedIDBytes bounds the ID of an event in a log line.
const maxLoggedIDBytes = 64

// Ended logs the outcome of a request.
func (l *RequestLog) Ended(job *relay.Job, outcome relay.Outcome, duration time.Duration) {
	late := outcome.TimeToFirstByte > job.Route.LatencyObjective && job.Route.LatencyObjective > 0
	unusual := outcome.Reason != relay.ReasonNone || outcome.Attempts > 1 || late || job.Caller.LastEventID != ""
	endpoints := l.Endpoints()
	ok, omitted := l.allowLine(unusual)
	if !ok {
		return
	}
	fields := []any{
		"request", job.Caller.ID, "team", job.Team, "route", job.Route.Name, "configuration", job.ConfigVersion,
		"status", outcome.Status, "reason", string(outcome.Reason), "endpoint", outcome.Endpoint, "prefill", outcome.PrefillEndpoint,
		"attempts", outcome.Attempts, "may_have_run", outcome.MayHaveRun, "first_ms", outcome.TimeToFirstByte.Milliseconds(), "ms", duration.Milliseconds(),
		"late", late, "level", outcome.Level, "fetched_tokens", outcome.FetchedTokens, "predicted_ms", outcome.PredictedPrefill.Milliseconds(), "reading_ms", outcome.MeasuredPrefill.Milliseconds(),
		"decode_first_ms", outcome.TimeToFirstEvent.Milliseconds(), "prompt_tokens", job.Caller.Prompt.InputTokens, "lines_omitted", omitted,
		"endpoints_era", endpoints.Era, "endpoints_version", endpoints.Version, "endpoints_age_ms", endpoints.Age.Milliseconds(),
	}
	if unusual {
		sharedParts := job.Identity.Parts
		fields = append(fields, "calls", outcome.Calls, "shared_parts", sharedParts[:min(len(sharedParts), maxLoggedParts)])
	}
	if outcome.PassedOver.Count > 0 {
		fields = append(fields, "limited_endpoints", outcome.PassedOver.Count, "limited_endpoint", outcome.PassedOver.Any)
	}
	if job.Caller.LastEventID != "" {
		fields = append(fields, "last_event", job.Caller.LastEventID[:min(len(job.Caller.LastEventID), maxLoggedIDBytes)], "resumed_request", job.Caller.ResumedRequestID)
	}
	if gone := outcome.VersionGone; gone != nil {
		fields = append(fields, "software", gone.Version, "software_decode", gone.Engines.Decode, "software_ejected", gone.Engines.Ejected, "software_prefill", gone.Engines.Prefill)
	}
	if outcome.RetryAfter > 0 {
		fields = append(fields, "retry_in_ms", outcome.RetryAfter.Milliseconds())
	}
	if outcome.Err != nil {
		log.Error(outcome.Err, "A request ended.", fields...)
		return
	}
	log.Info("A request ended.", fields...)
}
