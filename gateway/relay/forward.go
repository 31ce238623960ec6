package relay

import (
	"errors"
	"io"
	"time"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// forwarding is the state of a response that is forwarded to the caller.
type forwarding struct {
	stream   *stream
	call     *streamCall
	watch    *watch
	counter  eventCounter
	gaps     gapMeter
	received int // Number of events.
	// streamEnded records the end of the stream at the selector; nil before the first bytes.
	streamEnded func()
}

// forward sends the events of a response to the caller as they arrive.
func (s *stream) forward(c *streamCall, w *watch) attemptResult {
	s.progress.runs++
	s.progress.MayHaveRun = true
	s.callWritten = false
	f := &forwarding{
		stream: s, call: c, watch: w, counter: eventCounter{order: c.order},
		gaps: gapMeter{selector: s.relay.Selector, endpoint: c.endpoint.ID},
	}
	defer f.close()
	buffer := make([]byte, streamBufferBytes)
	for {
		var n int
		var err error
		s.wait(func() { n, err = c.read(buffer) })
		s.raise()
		if w.replaced() {
			return s.endReplaced(c, w, f.received)
		}
		events, eventErr := f.counter.add(buffer[:n])
		if eventErr != nil {
			n, err = f.counter.whole, eventErr
		}
		f.received += events
		writeErr := f.deliver(buffer[:n], events)
		if errors.Is(writeErr, errStartedAgain) {
			err = writeErr
		} else if writeErr != nil {
			s.progress.recordStreamCall(c.endpoint.ID, c.start, ResultCallerLeft, f.received)
			return s.endCallerLeft()
		}
		if err != nil {
			return f.end(err)
		}
	}
}

// close records the end of the stream at the selector.
func (f *forwarding) close() {
	if f.streamEnded != nil {
		f.streamEnded()
	}
}

// deliver sends data, in which a number of events end, to the caller and records the progress
// of the endpoint.
func (f *forwarding) deliver(data []byte, events int) error {
	if len(data) == 0 {
		return nil
	}
	s := f.stream
	if events > 0 {
		f.watch.progress()
		s.recordEvent(f.call)
		s.recordEventLeft()
	}
	f.gaps.observe(events)
	if f.streamEnded == nil {
		s.recordFirstEvent(f.call.assignment, f.call.start)
		f.streamEnded = s.relay.Selector.StreamStarted(f.call.endpoint.ID)
		s.countRunStart()
	}
	err := s.writeEvents(f.call, data)
	if err == nil && events > 0 {
		f.watch.wrote()
	}
	return err
}

// end ends a call whose response has ended or failed with err.
func (f *forwarding) end(err error) attemptResult {
	s, c := f.stream, f.call
	if !errors.Is(err, io.EOF) {
		return s.endBroken(c, err, f.received)
	}
	err = c.checkEnd(&f.counter, f.received)
	if errors.Is(err, errNothingLeft) {
		return s.endWithoutEvent(c)
	}
	if err != nil {
		return s.endBroken(c, err, f.received)
	}
	s.progress.recordStreamCall(c.endpoint.ID, c.start, ResultAnswered, f.received)
	if s.progress.sends == 1 { // Otherwise the events are those of a part of the response.
		s.relay.Selector.ObserveResponse(s.job.Service, s.job.Caller.Prompt.OutputTokensHint, f.gaps.events)
	}
	return s.finish(c)
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
		return s.finish(c)
	}
	s.saidNothingLeft = c.endpoint.ID
	s.progress.Err = errNothingLeft
	s.progress.runs--
	return s.afterBrokenResponse()
}

// endBroken ends a call whose response failed with err after a number of events.
func (s *stream) endBroken(c *streamCall, err error, received int) attemptResult {
	s.progress.recordStreamCall(c.endpoint.ID, c.start, resultOfError(c.ctx, err), received)
	s.recordFailure(c.ctx, c.endpoint, s.runProgress(c), err)
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

// recordProof records once that an endpoint has answered so much that the request is not what
// crashes endpoints.
func (s *stream) recordProof(proven bool) {
	if proven && !s.proven {
		s.proven = true
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
func (s *stream) writeEvents(c *streamCall, data []byte) error {
	if s.startedAgain(c.endpoint) {
		return errStartedAgain
	}
	data = s.events.add(data)
	if len(data) == 0 {
		return nil
	}
	if err := s.fixVersion(c); err != nil {
		return err
	}
	s.callWritten = true
	s.writeHeader(c.response)
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
func (s *stream) finish(c *streamCall) attemptResult {
	s.relay.Selector.RecordResult(c.endpoint.ID, engines.RequestSucceeded)
	s.recordProof(!c.firstEvent.IsZero())
	if s.fixVersion(c) != nil {
		return s.endCallerLeft()
	}
	s.writeHeader(c.response)
	return attemptResult{finished: true, sent: true}
}
