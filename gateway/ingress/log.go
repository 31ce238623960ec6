package ingress

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/relay"
)

// Bounds of the lines about requests, so that a flood of them costs little.
const (
	// ordinaryPerSec is how many answered requests are logged a second.
	ordinaryPerSec = 4
	// unusualPerSec is the same of refused, failed, repeated and late ones.
	unusualPerSec = 60
)

var log = logging.For("gateway/request")

// RequestLog writes a line for each request, within bounds. What is left out is
// counted in the next line.
type RequestLog struct {
	// Endpoints returns the version and the age of the list of endpoints.
	Endpoints func() (version int64, age time.Duration)

	mu       sync.Mutex
	second   int64
	ordinary int
	unusual  int
	omitted  int
}

// take reports whether a line may be written and how many were left out before it.
func (l *RequestLog) take(unusual bool) (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now().Unix(); now != l.second {
		l.second, l.ordinary, l.unusual = now, 0, 0
	}
	count, limit := &l.ordinary, ordinaryPerSec
	if unusual {
		count, limit = &l.unusual, unusualPerSec
	}
	if *count >= limit {
		l.omitted++
		return false, 0
	}
	*count++
	omitted := l.omitted
	l.omitted = 0
	return true, omitted
}

// Refused logs a request that was refused before it was run.
func (l *RequestLog) Refused(id string, status int, reason string, version int64, took time.Duration) {
	ok, omitted := l.take(true)
	if !ok {
		return
	}
	log.Info("A request was refused.", "request", id, "status", status, "reason", reason, "configuration", version, "ms", took.Milliseconds(), "lines_omitted", omitted)
}

// maxStack bounds the stack in a log line, in bytes.
const maxStack = 4 << 10

// Panicked logs a request that this process could not end since it panicked.
func (l *RequestLog) Panicked(id string, cause any) {
	ok, omitted := l.take(true)
	if !ok {
		return
	}
	stack := debug.Stack()
	log.Error(fmt.Errorf("a panic: %v; remedy: report the stack, it is a fault of this program", cause), "A request was given up and its connection closed.",
		"request", id, "stack", string(stack[:min(len(stack), maxStack)]), "lines_omitted", omitted)
}

// Ended logs what became of a request.
func (l *RequestLog) Ended(job *relay.Job, outcome relay.Outcome, took time.Duration) {
	late := outcome.First > job.Route.Objective && job.Route.Objective > 0
	unusual := outcome.Reason != relay.ReasonNone || outcome.Attempts > 1 || late
	endpointsVersion, endpointsAge := l.Endpoints()
	ok, omitted := l.take(unusual)
	if !ok {
		return
	}
	fields := []any{
		"request", job.Caller.ID, "team", job.Team, "route", job.Route.Name, "configuration", job.Version,
		"status", outcome.Status, "reason", string(outcome.Reason), "endpoint", outcome.Endpoint, "prefill", outcome.Prefill,
		"attempts", outcome.Attempts, "may_have_run", outcome.Ran, "first_ms", outcome.First.Milliseconds(), "ms", took.Milliseconds(),
		"late", late, "level", outcome.Level, "fetched_tokens", outcome.Fetched, "predicted_ms", outcome.Predicted.Milliseconds(), "reading_ms", outcome.Reading.Milliseconds(),
		"decode_first_ms", outcome.Decode.Milliseconds(), "prompt_tokens", job.Caller.Prompt.Input, "lines_omitted", omitted,
		"endpoints_version", endpointsVersion, "endpoints_age_ms", endpointsAge.Milliseconds(),
	}
	if unusual {
		fields = append(fields, "calls", outcome.Calls)
	}
	if outcome.RetryIn > 0 {
		fields = append(fields, "retry_in_ms", outcome.RetryIn.Milliseconds())
	}
	if outcome.Err != nil {
		log.Error(outcome.Err, "A request ended.", fields...)
		return
	}
	log.Info("A request ended.", fields...)
}
