package relay

import (
	"errors"
	"io"
	"time"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// forward sends the events of a response to the caller as they arrive.
func (s *stream) forward(c *streamCall, w *watch) attemptResult {
	endpoint, response, start := c.endpoint, c.response, c.start
	s.progress.runs++
	s.progress.MayHaveRun = true
	s.callWritten = false
	streamEnded := func() {}
	defer func() { streamEnded() }()
	buffer := make([]byte, streamBufferBytes)
	first := true
	gaps := gapMeter{selector: s.relay.Selector, endpoint: endpoint.ID}
	counter := eventCounter{order: c.order}
	received := 0
	for {
		var n int
		var err error
		s.wait(func() { n, err = c.read(buffer) })
		s.raise()
		if w.replaced() {
			return s.endReplaced(c, w, received)
		}
		events, eventErr := counter.add(buffer[:n])
		if eventErr != nil {
			n, err = counter.whole, eventErr
		}
		received += events
		if n > 0 {
			if events > 0 {
				w.progress()
				s.recordAnswer()
				s.recordEventLeft()
			}
			gaps.observe(events)
			if first {
				first = false
				s.recordFirstEvent(c.assignment, start)
				streamEnded = s.relay.Selector.StreamStarted(endpoint.ID)
				s.countRunStart()
			}
			writeErr := s.writeEvents(endpoint, response, buffer[:n])
			if errors.Is(writeErr, errStartedAgain) {
				err = writeErr
			} else if writeErr != nil {
				s.progress.recordStreamCall(endpoint.ID, start, ResultCallerLeft, received)
				return s.endCallerLeft()
			}
			if events > 0 {
				w.wrote()
			}
		}
		ended := errors.Is(err, io.EOF)
		if ended {
			err = c.checkEnd(&counter, received)
		}
		if errors.Is(err, errNothingLeft) {
			return s.endWithoutEvent(c)
		}
		if ended && err == nil {
			s.progress.recordStreamCall(endpoint.ID, start, ResultAnswered, received)
			if s.progress.sends == 1 { // Otherwise the events are those of a part of the response.
				s.relay.Selector.ObserveResponse(s.job.Service, s.job.Caller.Prompt.OutputTokensHint, gaps.events)
			}
			return s.finish(endpoint, response)
		}
		if err != nil {
			return s.endBroken(c, err, received)
		}
	}
}

// endWithoutEvent ends a call whose endpoint says that no event is left after the last one,
// which may be a fault: the stream is complete once a second answer says so too. Without a
// token the request has not begun to run.
func (s *stream) endWithoutEvent(c *streamCall) attemptResult {
	if s.startedAgain(c.endpoint) {
		return s.endBroken(c, errStartedAgain, 0)
	}
	s.progress.recordStreamCall(c.endpoint.ID, c.start, ResultEmpty, 0)
	s.events.discardPartial()
	if first := s.saidNothingLeft; first != "" {
		s.relay.Selector.RecordResult(first, engines.RequestSucceeded)
		return s.finish(c.endpoint, c.response)
	}
	s.saidNothingLeft = c.endpoint.ID
	s.progress.Err = errNothingLeft
	s.progress.runs--
	return s.afterBrokenResponse()
}

// endBroken ends a call whose response failed with err after a number of events.
func (s *stream) endBroken(c *streamCall, err error, received int) attemptResult {
	s.progress.recordStreamCall(c.endpoint.ID, c.start, resultOfError(c.ctx, err), received)
	s.recordFailure(c.ctx, c.endpoint, false, err)
	s.events.discardPartial()
	if !s.headerSent && !s.job.Repeatable() {
		return attemptResult{sent: true}
	}
	return s.afterBrokenResponse()
}

// recordFirstEvent records the time to the first event from an endpoint.
func (s *stream) recordFirstEvent(assignment *engines.PromptAssignment, start time.Time) {
	took := time.Since(start)
	if s.progress.PrefillEndpoint == "" {
		s.recordPrefill(assignment, took)
	}
	s.progress.Timing.TimeToFirstEvent = took
	assignment.PrefillDone()
}

// recordAnswer records that an endpoint has begun the answer.
func (s *stream) recordAnswer() {
	if !s.answered {
		s.answered = true
		s.relay.Crashes.RecordAnswer(s.job.Identity)
	}
}

// recordEventLeft records that an event came although an endpoint had said that none is left.
func (s *stream) recordEventLeft() {
	if s.saidNothingLeft != "" {
		s.relay.Selector.RecordResult(s.saidNothingLeft, engines.RequestFailed)
		s.saidNothingLeft = ""
	}
}

func (s *stream) recordPrefill(assignment *engines.PromptAssignment, took time.Duration) {
	s.progress.Timing.setPrefill(assignment.Predicted(), took)
	s.relay.OnPrefillDone(assignment.Predicted(), took)
}

func (s *stream) countRunStart() {
	if !s.runCounted {
		s.runCounted = true
		s.relay.OnRunStart(s.job.Team)
	}
}

// afterBrokenResponse decides whether a stream may continue on another endpoint after an
// incomplete response: the route must be resumable, and the ID of the last event must be
// known if the caller has received any.
func (s *stream) afterBrokenResponse() attemptResult {
	if s.continuable() {
		return attemptResult{sent: true}
	}
	s.progress.Reason = ReasonBroken
	return attemptResult{finished: s.headerSent, sent: true}
}

// continuable reports whether another endpoint can go on after what the caller has
// received.
func (s *stream) continuable() bool {
	return s.job.Route.Resumable && (s.events.lastID != "" || s.events.count == 0)
}

func (s *stream) endCallerLeft() attemptResult {
	s.progress.Reason = ReasonCallerLeft
	if errors.Is(s.progress.Err, errOtherVersion) {
		s.progress.Reason = ReasonBroken
	}
	return attemptResult{finished: true, sent: true}
}

// writeEvents sends the whole events to the caller that data completes: what has not ended
// may turn out to be no event, and the stream may continue on another endpoint.
func (s *stream) writeEvents(endpoint site.Endpoint, response *transport.Response, data []byte) error {
	if s.startedAgain(endpoint) {
		return errStartedAgain
	}
	data = s.events.add(data)
	if len(data) == 0 {
		return nil
	}
	if err := s.fixVersion(endpoint); err != nil {
		return err
	}
	s.callWritten = true
	s.writeHeader(response)
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.flush()
}

// writeHeader sends the header of the first endpoint that responded.
func (s *stream) writeHeader(response *transport.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.progress.TimeToFirstByte = time.Since(s.job.Arrived)
	s.progress.Status = response.Status
	site.CopyResponseHeaders(s.w.Header(), response.Header)
	suppressDefaultHeaders(s.w.Header())
	s.w.WriteHeader(response.Status)
}

// finish ends a stream after the endpoint has ended its response.
func (s *stream) finish(endpoint site.Endpoint, response *transport.Response) attemptResult {
	s.relay.Selector.RecordResult(endpoint.ID, engines.RequestSucceeded)
	s.relay.Crashes.RecordComplete(s.job.Identity)
	if s.fixVersion(endpoint) != nil {
		return s.endCallerLeft()
	}
	s.writeHeader(response)
	return attemptResult{finished: true, sent: true}
}
