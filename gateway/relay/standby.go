package relay

import (
	"context"
	"errors"
	"maps"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/core/standby"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

// errOutrun is the cause with which a call is ended since another one goes on.
var errOutrun = errors.New("another call of the same request goes on; remedy: none is needed")

// watch watches a call of a stream. While its endpoint is silent, it makes a second call
// beside it, the standby, which replaces the first one once it has sent an event. All
// fields are guarded by the mutex of the stream.
type watch struct {
	stream  *stream
	ctx     context.Context // Of the request.
	first   *streamCall
	counted bool // The first call is counted among the runs and sends.
	stall   *stallTimer
	// progressAt is the time of the last progress of the first call.
	progressAt time.Time
	pair       standby.Pair
	call       *streamCall // The standby, while it is under way.
	ended      bool
}

// watch starts to watch a call.
func (s *stream) watch(ctx context.Context, first *streamCall) *watch {
	w := &watch{stream: s, ctx: ctx, first: first, progressAt: time.Now()}
	alive := func() bool { return s.relay.Selector.Alive(first.endpoint.ID) }
	w.stall = newStallTimer(s.stallTimeout(), alive, w.onStall)
	return w
}

// progress records an event of the first call.
func (w *watch) progress() {
	w.progressAt = time.Now()
	w.stall.progress()
	if w.pair.Progress() {
		w.call.cancel(errOutrun)
	}
}

// wrote records that events were written to the caller. The time that the caller took is
// no silence of the endpoint.
func (w *watch) wrote() {
	w.progressAt = time.Now()
	w.stall.progress()
}

// replaced reports whether a standby has replaced the first call.
func (w *watch) replaced() bool { return w.pair.StandbyGoesOn() }

// onStall makes a standby call while the endpoint of the first call is silent.
func (w *watch) onStall() {
	s := w.stream
	s.mu.Lock()
	defer s.mu.Unlock()
	defer w.catch()
	if w.ended || time.Since(w.progressAt) < w.stall.timeout {
		return
	}
	c := w.newStandby()
	if c == nil || !w.pair.Begin() {
		w.stall.again()
		return
	}
	w.call = c
	defer close(c.done)
	s.wait(func() {
		c.send(s.relay)
		c.readHead()
	})
	w.standbyReturned(c)
}

// catch hands a panic over to the goroutine of the stream.
func (w *watch) catch() {
	if panicked := newCaughtPanic(recover()); panicked != nil {
		w.stream.relay.Meter.Count("panic", "standby")
		w.stream.panicked = panicked
		w.first.cancel(errOutrun)
	}
}

// newStandby returns a call for a standby, or nil if none may begin now.
func (w *watch) newStandby() *streamCall {
	s := w.stream
	if w.call != nil || !w.attempts().MayBegin() || s.job.Trial {
		return nil
	}
	if s.inDoubt() || !s.listIsCurrent() {
		return nil
	}
	if decision := s.relay.Crashes.Decide(s.job.Identity); decision.Refused || decision.Trial {
		return nil
	}
	placed := s.relay.Selector.Place(s.job.Service, s.standbyRequest(w.first.endpoint.ID))
	if placed.Verdict == placement.Refused || placed.Verdict == placement.NoEngine {
		s.relay.Meter.Count("standby", "unplaced")
		return nil
	}
	if !s.relay.RetryBudgets.take(s.job.Service, 1) {
		s.relay.Meter.Count("standby", "denied", "budget")
		return nil
	}
	s.relay.Meter.Count("standby", "sent")
	return s.newCall(w.ctx, placed, s.runHeaders(placed))
}

// attempts returns what decides whether a standby may begin.
func (w *watch) attempts() standby.Attempts {
	s := w.stream
	underWay := 0
	if !w.counted {
		underWay = 1
	}
	return standby.Attempts{
		Repeatable: s.job.Repeatable(), Continuable: s.continuable(),
		Runs: s.progress.runs + underWay, MaxRuns: s.job.Route.MaxAttempts,
		Sends: s.progress.sends + underWay, MaxSends: maxSends,
		Remaining: s.job.remaining(time.Now()), MinTime: minAttemptTime,
	}
}

// standbyRequest returns the placement request for a standby beside an endpoint.
func (s *stream) standbyRequest(beside string) placement.Request {
	request := s.placementRequest()
	request.Exclude = maps.Clone(request.Exclude)
	request.Exclude[beside] = true
	return request
}

// standbyReturned decides what becomes of a standby whose call has returned.
func (w *watch) standbyReturned(c *streamCall) {
	if w.replaced() {
		return // The first call failed meanwhile: the stream waits for this one.
	}
	if c.begun() && !w.stream.mayJoin(c) {
		c.cancel(errOutrun)
	} else if w.stream.mayReplace(c) && w.pair.Began() {
		w.stream.relay.Meter.Count("standby", "took_over")
		w.first.cancel(errSilent)
		return
	}
	w.stream.recordStandby(c)
	c.end()
	w.call = nil
	w.pair.StandbyEnded()
	w.stall.again()
}

// mayReplace reports whether the answer of a standby may replace the first call: one without
// an event only if another endpoint said before that no event is left.
func (s *stream) mayReplace(c *streamCall) bool {
	return c.begun() && (!c.nothingLeft || s.saidNothingLeft != "")
}

// recordStandby records a standby that does not go on.
func (s *stream) recordStandby(c *streamCall) {
	switch {
	case c.err == nil && c.response.Meta.NotRun:
		s.progress.sends++
		s.progress.recordCall(c.endpoint.ID, c.start, ResultRefused)
		s.recordDecodeRefusal(c.endpoint, c.response, c.run)
	case errors.Is(context.Cause(c.ctx), errOutrun):
		s.relay.Meter.Count("standby", "outrun")
		s.progress.recordCall(c.endpoint.ID, c.start, ResultOutrun)
		if c.sent() {
			s.countPossibleRun()
		}
		return
	case c.err != nil:
		s.progress.recordCall(c.endpoint.ID, c.start, resultOfError(c.ctx, c.err))
		if c.sent() {
			s.countPossibleRun()
		}
		s.recordFailure(c.ctx, c.endpoint, s.runProgress(c), c.err)
	case c.nothingLeft:
		s.progress.sends++
		s.progress.recordCall(c.endpoint.ID, c.start, ResultEmpty)
		s.saidNothingLeft = c.endpoint.ID
	default:
		s.countPossibleRun()
		s.progress.recordCall(c.endpoint.ID, c.start, ResultFailed)
		s.relay.Selector.RecordResult(c.endpoint.ID, engines.RequestFailed)
	}
	s.progress.excluded[c.endpoint.ID] = true
}

// end stops watching. A standby that is under way becomes the next attempt if the stream
// has not finished, and is cancelled otherwise.
func (w *watch) end(result attemptResult) {
	w.ended = true
	w.stall.stop()
	if w.call == nil {
		return
	}
	if !result.finished && w.stream.mayGoOnAt(w.call.endpoint) && (w.pair.FirstFailed() || w.replaced()) {
		w.stream.next = w.call
		return
	}
	w.pair.Progress()
	w.call.cancel(errOutrun)
	done := w.call.done
	w.stream.wait(func() { <-done })
}

// runHeaders returns the headers of a call to the decode engine of a placement.
func (s *stream) runHeaders(placed engines.Placement) site.RunHeaders {
	return site.RunHeaders{
		EndpointID: placed.DecodeEndpoint.ID, Team: s.job.Team, Remaining: s.job.remaining(time.Now()), Priority: placed.Level,
		LastEventID: s.events.lastID, KVFetch: placed.FetchAddress,
	}
}
