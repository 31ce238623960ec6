package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// Limits of streams.
const (
	// levelsPerPriority is the number of priority levels from one priority of routes
	// and teams to the next, and maxLevel the largest level. The levels above are left
	// for prompts that can't be in time.
	levelsPerPriority = 2
	maxLevel          = 6
	// remoteCostShare is the share of a route's latency objective that is the cost of
	// an engine in another data centre.
	remoteCostShare   = 0.35
	streamBufferBytes = 8 << 10
)

// stream is the state of one streamed response over its attempts.
type stream struct {
	relay      *Relay
	job        *Job
	w          http.ResponseWriter
	flush      func() error
	prompt     placement.Prompt
	progress   *progress
	events     eventBuffer
	headerSent bool // The header, and possibly events, were sent to the caller.
	runCounted bool // OnRunStart was called.
	// answered is set once an endpoint has sent an event, here or to a caller that
	// resumes the stream.
	answered bool
	// prefillCalls is the number of prefill calls to separate engines.
	prefillCalls int
	// prefillFailed reports whether the last attempt ended with a failed prefill call.
	prefillFailed bool
	// reserved is the limited decode engine for which a permit was taken before the
	// prefill, if any.
	reserved string
}

// serveStream runs a request whose response is a stream of events.
func (r *Relay) serveStream(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	s := &stream{
		relay: r, job: job, w: w, flush: http.NewResponseController(w).Flush, prompt: job.prompt(),
		progress: &progress{excluded: make(map[string]bool)}, answered: job.Caller.LastEventID != "",
	}
	for first := true; ; first = false {
		if !first {
			if decision := r.decide(job); decision.Refused {
				return s.giveUp(ctx, ReasonCrashes, decision.RetryIn)
			}
		}
		placed := s.place(ctx)
		if placed.Verdict == placement.Refused || placed.Verdict == placement.NoEngine {
			return s.endUnplaced(ctx, placed)
		}
		r.Meter.Count("placement", verdictName(placed.Verdict))
		result := s.attempt(ctx, placed)
		if result.finished {
			s.progress.Attempts = s.progress.sends
			return s.progress.Outcome
		}
		s.progress.excluded[s.progress.Endpoint] = true
		if ctx.Err() != nil || !r.mayRetry(job, s.progress, result.sent) {
			return s.giveUp(ctx, ReasonEndpointsFull, placed.RetryAfter)
		}
	}
}

func verdictName(v placement.Verdict) string {
	if v == placement.Late {
		return "late"
	}
	return "in_time"
}

func (s *stream) placementRequest() placement.Request {
	waited := time.Since(s.job.Arrived)
	return placement.Request{
		Prompt:         s.prompt,
		Level:          min(s.job.Priority*levelsPerPriority, maxLevel),
		Budget:         s.job.Route.LatencyObjective - waited,
		MaxWait:        min(s.job.maxEventWait()-waited, s.job.remaining(time.Now())),
		ExpectedEvents: s.relay.Selector.ExpectedEvents(s.job.Service, s.job.Caller.Prompt.OutputTokensHint),
		Deadline:       s.job.remaining(time.Now()),
		MaxEventGap:    s.job.Route.MaxEventGap,
		RemoteCost:     time.Duration(remoteCostShare * float64(s.job.Route.LatencyObjective)),
		Exclude:        s.progress.excluded,
		MustServe:      s.headerSent,
	}
}

// giveUp ends a stream that no endpoint can start or continue.
func (s *stream) giveUp(ctx context.Context, reason Reason, atLeast time.Duration) Outcome {
	if !s.headerSent {
		return s.progress.endUnanswered(ctx, s.w, s.job, reason, max(atLeast, s.relay.retryIn(s.job.Service)))
	}
	s.progress.Reason = ReasonBroken
	if ctx.Err() != nil && time.Now().Before(s.job.Deadline) {
		s.progress.Reason = ReasonCallerLeft
	}
	s.progress.Attempts = s.progress.sends
	return s.progress.Outcome
}

// attempt makes one attempt: prefill on one engine and decode on another, or both on
// the decode engine.
func (s *stream) attempt(ctx context.Context, placed engines.Placement) attemptResult {
	run := site.RunHeaders{
		EndpointID: placed.DecodeEndpoint.ID, Team: s.job.Team, Remaining: s.job.remaining(time.Now()), Priority: placed.Level,
		LastEventID: s.events.lastID, KVFetch: placed.FetchAddress,
	}
	s.progress.Endpoint = placed.DecodeEndpoint.ID
	s.progress.PrefillEndpoint = ""
	s.progress.Level = placed.Level
	s.progress.FetchedTokens = placed.Fetched
	if placed.FetchAddress != "" && placed.Fetched == 0 {
		s.progress.FetchedTokens = -1
	}
	if placed.Prefill == nil {
		return s.decode(ctx, placed, run)
	}
	if s.job.Trial || !s.mayPrefill() {
		return s.decode(ctx, placed, run)
	}
	if !s.reserveDecode(placed.DecodeEndpoint.ID) {
		return attemptResult{}
	}
	s.progress.PrefillEndpoint = placed.PrefillEndpoint.ID
	handle, result, ok := s.prefill(ctx, placed, run)
	if !ok {
		s.prefillFailed = true
		s.progress.excluded[placed.PrefillEndpoint.ID] = true
		return result
	}
	if s.relay.decide(s.job).Refused {
		return attemptResult{sent: true}
	}
	if s.reserved == "" || !s.relay.Selector.Allows(placed.DecodeEndpoint) {
		s.reserved = ""
		next, ok := s.relay.Selector.ChooseDecode(s.job.Service, s.placementRequest())
		if !ok {
			return attemptResult{sent: true}
		}
		placed.DecodeEndpoint = next
	}
	s.progress.Endpoint = placed.DecodeEndpoint.ID
	run.EndpointID = placed.DecodeEndpoint.ID
	run.KVSource = handle
	run.KVFetch = ""
	run.Remaining = s.job.remaining(time.Now())
	return s.decode(ctx, placed, run)
}

func (s *stream) recordFailure(ctx context.Context, endpoint site.Endpoint, prefill bool, err error) {
	s.progress.Err = err
	if heldBack(err) {
		return
	}
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return // The caller disconnected; the endpoint did not fail.
	}
	if errors.Is(err, transport.ErrNotSent) {
		s.relay.Selector.RecordResult(endpoint.ID, engines.Unreachable)
		return
	}
	s.relay.Selector.RecordResult(endpoint.ID, healthResult(err))
	if ctx.Err() == nil {
		s.relay.recordBrokenRun(s.job, endpoint, runProgress{prefill: prefill, answered: s.answered})
	}
}

// decode sends the request to the decode engine and forwards the response.
func (s *stream) decode(ctx context.Context, placed engines.Placement, run site.RunHeaders) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endpoint := placed.DecodeEndpoint
	var assignment *engines.PromptAssignment
	if run.KVSource == "" {
		assignment = s.relay.Selector.Send(endpoint.ID, s.prompt, placed.Level, placed.Fetched)
		s.progress.PredictedPrefill = assignment.Predicted()
	} else {
		assignment = s.relay.Selector.SendPrefilled(endpoint.ID, s.prompt, placed.Level)
	}
	defer assignment.Cancel()
	start := time.Now()
	stall := newStallTimer(s.stallTimeout(), func() bool { return s.relay.Selector.Alive(endpoint.ID) }, cancel)
	defer stall.stop()
	response, err := s.send(ctx, endpoint, s.relay.newRequest(s.job, run, s.job.Body))
	if err != nil {
		s.progress.recordCall(endpoint.ID, start, resultOfError(ctx, err))
		sent := !errors.Is(err, transport.ErrNotSent)
		if sent {
			s.countPossibleRun()
		}
		s.recordFailure(ctx, endpoint, false, err)
		return attemptResult{sent: sent}
	}
	s.progress.sends++
	defer response.Close()
	if response.Meta.NotRun {
		s.progress.recordCall(endpoint.ID, start, ResultRefused)
		s.recordDecodeRefusal(endpoint, response, run)
		return attemptResult{sent: true}
	}
	if response.Status != http.StatusOK {
		s.progress.recordCall(endpoint.ID, start, ResultFailed)
		return s.handleDecodeFailure(endpoint, response)
	}
	return s.forward(ctx, endpoint, response, assignment, stall, start)
}

func (s *stream) countPossibleRun() {
	s.progress.sends++
	s.progress.runs++
	s.progress.MayHaveRun = true
}

// recordDecodeRefusal records that an endpoint did not run a request. If it could not
// fetch the KV cache from the prefill engine, its health is not affected.
func (s *stream) recordDecodeRefusal(endpoint site.Endpoint, response *transport.Response, run site.RunHeaders) {
	if run.KVSource != "" && !response.Meta.Misdirected {
		s.relay.Meter.Count("endpoint", "handle_refused")
		return
	}
	s.relay.recordRefusal(endpoint, response)
}

// handleDecodeFailure forwards an error response of an endpoint, unless another attempt
// may follow.
func (s *stream) handleDecodeFailure(endpoint site.Endpoint, response *transport.Response) attemptResult {
	s.progress.MayHaveRun = true
	s.progress.runs++
	s.relay.Selector.RecordResult(endpoint.ID, engines.RequestFailed)
	body, complete, err := readBuffered(response)
	s.progress.Err = err
	if s.headerSent || err != nil || (s.job.Repeatable() && s.progress.runs < s.job.Route.MaxAttempts && response.Status >= http.StatusInternalServerError) {
		return attemptResult{sent: true}
	}
	s.progress.Status = response.Status
	writeResponse(s.w, response, body, complete)
	return attemptResult{finished: true, sent: true}
}
