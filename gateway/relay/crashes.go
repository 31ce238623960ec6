package relay

import (
	"time"

	"flamingospar.org/gateway/crashes"
	"flamingospar.org/platform/site"
)

// decide decides again whether a request that was admitted may be sent: it may have
// become known meanwhile that it crashes endpoints.
func (r *Relay) decide(job *Job) crashes.Decision {
	if job.Trial {
		return crashes.Decision{}
	}
	decision := r.Crashes.Decide(job.Identity)
	job.Trial = decision.Trial
	return decision
}

// runProgress is how far a run had come when its connection broke.
type runProgress struct {
	prefill    bool // It only had the prompt read.
	proven     bool // An endpoint has answered so much of it that it is not what crashes endpoints.
	sent       time.Time
	firstEvent time.Time // Zero if this endpoint had sent no event.
}

// recordBrokenRun reports a run whose connection broke, since its endpoint may have
// crashed.
func (r *Relay) recordBrokenRun(job *Job, endpoint site.Endpoint, progress runProgress) {
	r.Crashes.RecordBrokenRun(crashes.BrokenRun{
		RequestID: job.Caller.ID, Request: job.Identity, Endpoint: endpoint, Prefill: progress.prefill, Proven: progress.proven,
		Sent: progress.sent, FirstEvent: progress.firstEvent,
	})
}
