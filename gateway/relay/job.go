package relay

import (
	"net/http"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/platform/site"
)

// Job is a caller's request that was read whole and is allowed.
type Job struct {
	Caller   site.CallerRequest
	Method   string
	Target   string // Path and query as sent.
	Host     string
	Header   http.Header // What endpoints get of the caller's headers.
	Body     []byte
	Route    site.Route
	Service  string
	Team     string
	Priority int // Of the team, or else of the route; 0 first.
	Arrived  time.Time
	Deadline time.Time // The caller's or the route's, whichever is earlier.
	Version  int64     // Of the configuration that allowed it.
}

// Repeatable reports whether the request may run more than once from its start.
func (j *Job) Repeatable() bool {
	return j.Route.Kind == site.Idempotent || (j.Route.Kind == site.Stream && j.Route.Resumable)
}

func (j *Job) prompt() placement.Prompt {
	prompt := placement.Prompt{Tokens: j.Caller.Prompt.Input}
	for _, part := range j.Caller.Prompt.Parts {
		prompt.Parts = append(prompt.Parts, placement.Part(part))
	}
	return prompt
}

// Waiting times of callers of streams.
const (
	// minStreamPatience is how long a caller waits for the next event at least.
	minStreamPatience = 2 * time.Second
	// objectivePatience and gapPatience are the same in multiples of the
	// route's objective and of its longest pause.
	objectivePatience = 4
	gapPatience       = 8
)

// streamPatience returns how long a caller waits for the next event.
func (j *Job) streamPatience() time.Duration {
	return max(minStreamPatience, objectivePatience*j.Route.Objective, gapPatience*j.Route.EventGap)
}

// remaining returns the time that an endpoint may work from now.
func (j *Job) remaining(now time.Time) time.Duration { return j.Deadline.Sub(now) }
