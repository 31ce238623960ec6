package relay

import (
	"context"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

// priorityLevel returns the level at which a priority of a route or team is placed. A priority
// that has no level gets the first or the last one.
func priorityLevel(priority int) int {
	return min(max(priority, 0), maxLevel/levelsPerPriority) * levelsPerPriority
}

// placementRequest returns what decides where the next attempt is made.
func (s *stream) placementRequest() placement.Request {
	waited := time.Since(s.job.Arrived)
	return placement.Request{
		Prompt:         s.prompt,
		Level:          priorityLevel(s.job.Priority),
		Budget:         s.job.Route.LatencyObjective - waited,
		MaxWait:        min(s.job.maxEventWait()-waited, s.job.remaining(time.Now())),
		ExpectedEvents: s.relay.Selector.ExpectedEvents(s.job.Service, s.job.Caller.Prompt.OutputTokensHint),
		Deadline:       s.job.remaining(time.Now()),
		MaxEventGap:    s.job.Route.MaxEventGap,
		RemoteCost:     time.Duration(remoteCostShare * float64(s.job.Route.LatencyObjective)),
		Exclude:        s.progress.excluded,
		MustServe:      s.headerSent,
		Version:        s.version,
		OverShare:      s.overShare,
		UrgentFirst:    s.relay.Shares != nil && s.job.Team != "",
	}
}

// attempt makes one attempt: prefill on one engine and decode on another, or both on
// the decode engine.
func (s *stream) attempt(ctx context.Context, placed engines.Placement) attemptResult {
	run := s.runHeaders(placed)
	s.progress.noteSoftware(placed.DecodeEndpoint, placed.PrefillEndpoint)
	s.progress.Endpoint = placed.DecodeEndpoint.ID
	s.progress.PrefillEndpoint = ""
	s.progress.Level = placed.Level
	s.progress.FetchedTokens = fetchedTokens(placed)
	if placed.Prefill == nil || s.job.Trial || !s.mayPrefill() {
		return s.decode(ctx, placed, run)
	}
	return s.attemptApart(ctx, placed, run)
}

// attemptApart runs the prefill on an engine of its own, and the decode after it.
func (s *stream) attemptApart(ctx context.Context, placed engines.Placement, run site.RunHeaders) attemptResult {
	if !s.reserveDecode(placed.DecodeEndpoint.ID) {
		return attemptResult{}
	}
	defer s.dropReserved()
	s.progress.PrefillEndpoint = placed.PrefillEndpoint.ID
	handle, result, ok := s.prefill(ctx, placed, run)
	if !ok {
		s.recordFailedPrefill(placed)
		result.unasked = true
		return result
	}
	if s.relay.decide(s.job).Refused || !s.awaitCurrentList(ctx) || !s.mayBeginRun() {
		return attemptResult{sent: true, unasked: true}
	}
	if placed.DecodeEndpoint, ok = s.decodeAfterPrefill(placed); !ok {
		return attemptResult{sent: true}
	}
	s.progress.Endpoint = placed.DecodeEndpoint.ID
	run.EndpointID = placed.DecodeEndpoint.ID
	run.KVSource = handle
	run.KVFetch = ""
	run.Remaining = s.job.remaining(time.Now())
	return s.decode(ctx, placed, run)
}

// recordFailedPrefill records that the prefill engine of an attempt failed. If it was silent, the
// decode engine can still read the prompt itself.
func (s *stream) recordFailedPrefill(placed engines.Placement) {
	s.prefillFailed = true
	s.progress.excluded[placed.PrefillEndpoint.ID] = true
	if s.progress.endedSilent() {
		placed.Prefill = nil
		s.unread = &placed
	}
}

// decodeAfterPrefill returns the decode engine once the prefill is done: that for which a permit was
// taken, if it still serves, and otherwise one that is chosen now. ok is false if there is none.
func (s *stream) decodeAfterPrefill(placed engines.Placement) (decode site.Endpoint, ok bool) {
	if s.reserved != nil && s.relay.Selector.Allows(placed.DecodeEndpoint) {
		return placed.DecodeEndpoint, true
	}
	s.dropReserved()
	request := s.placementRequest()
	request.Version = placed.PrefillEndpoint.SoftwareVersion
	decode, ok = s.relay.Selector.ChooseDecode(s.job.Service, request)
	if ok {
		s.progress.noteSoftware(decode)
	}
	return decode, ok
}

// fetchedTokens returns the tokens known to be cached at the engine to fetch from; -1 if
// their number is unknown.
func fetchedTokens(placed engines.Placement) int {
	if placed.FetchAddress != "" && placed.Fetched == 0 {
		return -1
	}
	return placed.Fetched
}
