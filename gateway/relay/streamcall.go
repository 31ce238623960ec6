package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"flamingospar.org/core/blame"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// streamCall is one call to a decode engine.
type streamCall struct {
	endpoint   site.Endpoint
	run        site.RunHeaders
	placed     engines.Placement
	request    transport.Request
	permit     *permit // Of the endpoint's rate limit, if it was taken in advance.
	assignment *engines.PromptAssignment
	ctx        context.Context
	cancel     context.CancelCauseFunc
	start      time.Time
	firstEvent time.Time // Zero until the endpoint has sent an event.
	// done is closed when response or err is set, and a standby has been decided about.
	done     chan struct{}
	response *transport.Response
	err      error
	// order is that which the events of the response must have.
	order eventOrder
	// goesOn reports whether the caller has a part of the stream already.
	goesOn bool
	// nothingLeft reports whether the endpoint of a standby said that no event is left.
	nothingLeft bool
	// head is what was read of the response of a standby, up to its first event at least.
	head []byte
}

// newCall prepares a call to the decode engine of a placement.
func (s *stream) newCall(ctx context.Context, placed engines.Placement, run site.RunHeaders) *streamCall {
	endpoint := placed.DecodeEndpoint
	s.progress.noteSoftware(endpoint)
	c := &streamCall{endpoint: endpoint, run: run, placed: placed, request: s.relay.newRequest(s.job, run, s.job.Body), permit: s.takeReserved(endpoint.ID), start: time.Now(), done: make(chan struct{})}
	if s.job.Route.Resumable {
		c.request.Start = s.startQuestion(endpoint)
	}
	c.goesOn = s.headerSent || s.resumes()
	c.order = s.orderAfter(run.LastEventID)
	c.ctx, c.cancel = context.WithCancelCause(ctx)
	if run.KVSource == "" {
		c.assignment = s.relay.Selector.Send(endpoint.ID, s.prompt, placed.Level, placed.Fetched)
	} else {
		c.assignment = s.relay.Selector.SendPrefilled(endpoint.ID, s.prompt, placed.Level)
	}
	return c
}

// orderAfter returns the order for the events of a call that goes on after the event with
// an ID, or after that which the caller has if it is empty.
func (s *stream) orderAfter(lastID string) eventOrder {
	if lastID == "" && s.resumes() {
		lastID = s.job.Caller.LastEventID
	}
	return eventOrder{lastID: lastID, goesOn: lastID != "", consecutive: s.events.consecutive()}
}

// send sends the call and waits for the header of its response.
func (c *streamCall) send(r *Relay) {
	if c.permit != nil {
		c.response, c.err = r.sendPermitted(c.ctx, c.endpoint, c.request, c.permit.giveBack)
		return
	}
	c.response, c.err = r.send(c.ctx, c.endpoint, c.request)
}

// sent reports whether the call may have reached its endpoint.
func (c *streamCall) sent() bool { return !errors.Is(c.err, transport.ErrNotSent) }

// recordEvent records that the endpoint of a call has sent an event, and what follows about the
// request if it may be one that crashes endpoints.
func (s *stream) recordEvent(c *streamCall) {
	if c.firstEvent.IsZero() {
		c.firstEvent = time.Now()
		s.relay.Crashes.RecordBegun(s.job.Identity)
	}
	s.recordProof(c.proves())
}

// proves reports whether the endpoint has been answering for so long that the request does not
// crash it.
func (c *streamCall) proves() bool {
	return !c.firstEvent.IsZero() && time.Since(c.firstEvent) >= blame.ProvenAfter
}

// runProgress returns how far a call has come.
func (s *stream) runProgress(c *streamCall) runProgress {
	return runProgress{proven: s.proven || c.proves(), sent: c.start, firstEvent: c.firstEvent}
}

// begun reports whether the endpoint has begun to answer with a stream.
func (c *streamCall) begun() bool {
	return c.err == nil && !c.response.Meta.NotRun && c.response.Status == http.StatusOK
}

// readHead reads the response of a standby until it has brought an event or has ended: a
// header alone doesn't show that its endpoint can replace a silent one. It sets err if the
// response breaks off before.
func (c *streamCall) readHead() {
	if !c.begun() {
		return
	}
	if c.err = c.checkHead(); c.err != nil {
		return
	}
	counter := eventCounter{order: c.order}
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := c.response.Read(buffer)
		c.head = append(c.head, buffer[:n]...)
		events, eventErr := counter.add(buffer[:n])
		switch {
		case eventErr != nil:
			c.err = eventErr
		case events > 0:
			return
		case errors.Is(err, io.EOF):
			c.err = c.checkEnd(&counter, 0)
			if c.nothingLeft = errors.Is(c.err, errNothingLeft); c.nothingLeft {
				c.err = nil
			}
		case err != nil:
			c.err = err
		case len(c.head) > maxEventBytes:
			c.err = fmt.Errorf("%w: more than %d bytes before the first event", transport.ErrResponseTooLarge, maxEventBytes)
		default:
			continue
		}
		return
	}
}

// read reads the body of the response, first what readHead has read.
func (c *streamCall) read(buffer []byte) (int, error) {
	if len(c.head) == 0 {
		return c.response.Read(buffer)
	}
	n := copy(buffer, c.head)
	c.head = c.head[n:]
	return n, nil
}

// end releases what the call holds, and aborts it if it has not ended.
func (c *streamCall) end() {
	if c.response != nil {
		c.response.Close()
	}
	c.cancel(nil)
	c.assignment.Cancel()
}

// wait runs call, which waits for an endpoint. The goroutine of the stream holds mu at all
// other times, so that a standby acts only while the first attempt waits.
func (s *stream) wait(call func()) {
	s.mu.Unlock()
	defer s.mu.Lock()
	call()
}

// raise raises a panic again that occurred while a standby was made.
func (s *stream) raise() {
	if panicked := s.panicked; panicked != nil {
		s.panicked = nil
		panic(panicked)
	}
}

// decode sends the request to the decode engine and forwards the response.
func (s *stream) decode(ctx context.Context, placed engines.Placement, run site.RunHeaders) attemptResult {
	c := s.newCall(ctx, placed, run)
	if run.KVSource == "" {
		s.progress.PredictedPrefill = c.assignment.Predicted()
	}
	return s.serveCall(ctx, c, func() { c.send(s.relay) })
}

// goOn serves the stream from a standby that has become the next attempt.
func (s *stream) goOn(ctx context.Context, c *streamCall) attemptResult {
	s.progress.Endpoint = c.endpoint.ID
	s.progress.PrefillEndpoint = ""
	s.progress.Level = c.placed.Level
	s.progress.FetchedTokens = fetchedTokens(c.placed)
	s.progress.PredictedPrefill = c.assignment.Predicted()
	return s.serveCall(ctx, c, func() { <-c.done })
}

// serveCall waits for the header of a call with await and forwards the response. A standby
// may replace it meanwhile.
func (s *stream) serveCall(ctx context.Context, c *streamCall, await func()) (result attemptResult) {
	defer c.end()
	w := s.watch(ctx, c)
	result.finished = true // Unless answer returns: it panics if the caller must not take its answer for complete.
	defer func() { w.end(result) }()
	s.wait(await)
	s.raise()
	return s.answer(c, w)
}

// answer processes the response to a call.
func (s *stream) answer(c *streamCall, w *watch) attemptResult {
	if w.replaced() {
		return s.endReplaced(c, w, 0)
	}
	w.counted = true
	if c.err != nil {
		s.progress.recordCall(c.endpoint.ID, c.start, resultOfError(c.ctx, c.err))
		if c.sent() {
			s.countPossibleRun()
		}
		s.recordFailure(c.ctx, c.endpoint, s.runProgress(c), c.err)
		return attemptResult{sent: c.sent()}
	}
	s.progress.sends++
	if c.response.Meta.NotRun {
		s.progress.recordCall(c.endpoint.ID, c.start, ResultRefused)
		s.recordDecodeRefusal(c.endpoint, c.response, c.run)
		return attemptResult{sent: true}
	}
	if c.response.Status != http.StatusOK {
		s.progress.recordCall(c.endpoint.ID, c.start, ResultFailed)
		return s.handleDecodeFailure(c, w)
	}
	err := c.checkHead()
	if err == nil && !s.mayJoin(c) {
		err = errStartNotProven
	}
	if err != nil {
		s.progress.runs++
		s.progress.MayHaveRun = true
		return s.endBroken(c, err, 0)
	}
	return s.forward(c, w)
}

// endReplaced ends a call that a standby has replaced after a number of events.
func (s *stream) endReplaced(c *streamCall, w *watch, received int) attemptResult {
	s.progress.recordStreamCall(c.endpoint.ID, c.start, ResultSilent, received)
	if !w.counted {
		w.counted = true
		s.countPossibleRun()
	}
	s.events.discardPartial()
	return attemptResult{sent: true}
}
