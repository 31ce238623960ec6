package relay

import (
	"net/http"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/core/worktime"
	"flamingospar.org/gateway/callermemory"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/stopping"
	"flamingospar.org/platform/site"
)

// Job is a caller's request that was read completely and admitted.
type Job struct {
	Caller  site.CallerRequest
	Method  string
	Target  string // Path and query as the caller sent them.
	Host    string
	Header  http.Header // Headers of the caller that are forwarded to endpoints.
	Body    []byte
	Route   site.Route
	Service string
	// FormerServices are those to which former configurations sent such a request while the
	// stream that it takes up may have begun.
	FormerServices []string
	Team           string
	Identity       crashes.Request // What it is recognised by if it crashes endpoints.
	Trial          bool            // It shows whether a part of its prompt still crashes endpoints.
	Priority       int             // Of the team if it has one, otherwise of the route; 0 first.
	Arrived        time.Time
	Deadline       time.Time // The earlier one of the caller's and the route's.
	ConfigVersion  int64     // Of the configuration that admitted it.
	// Memory bounds the responses that are buffered for the caller; nil if nothing does.
	Memory *callermemory.Account
}

// Repeatable reports whether the request may be run again from its start.
func (j *Job) Repeatable() bool {
	return j.Route.Kind == site.Idempotent || (j.Route.Kind == site.Stream && j.Route.Resumable)
}

// workKind returns the kind of requests that are expected to last as long as this one.
func (j *Job) workKind() worktime.Kind {
	return worktime.Kind{Service: j.Service, Route: j.Route.Name}
}

// StopRequest returns what decides whether the request is still taken while its process stops.
func (j *Job) StopRequest() stopping.Request {
	return stopping.Request{ID: j.Caller.ID, Kind: j.workKind(), Repeatable: j.Repeatable(), Deadline: j.Deadline}
}

func (j *Job) prompt() placement.Prompt {
	prompt := placement.Prompt{Tokens: j.Caller.Prompt.InputTokens}
	for _, part := range j.Caller.Prompt.Parts {
		prompt.Parts = append(prompt.Parts, placement.Part(part))
	}
	return prompt
}

// Parameters of the time that callers of streams wait for an event.
const (
	// minEventWait is the shortest time that a caller waits for the next event.
	minEventWait = 2 * time.Second
	// eventWaitPerObjective and eventWaitPerGap are the factors from the route's
	// latency objective and its longest event gap to the time that a caller waits at
	// least.
	eventWaitPerObjective = 4
	eventWaitPerGap       = 8
)

// maxEventWait returns the time for which a caller waits for the next event.
func (j *Job) maxEventWait() time.Duration {
	return max(minEventWait, eventWaitPerObjective*j.Route.LatencyObjective, eventWaitPerGap*j.Route.MaxEventGap)
}

// remaining returns the time from now to the deadline.
func (j *Job) remaining(now time.Time) time.Duration { return j.Deadline.Sub(now) }
