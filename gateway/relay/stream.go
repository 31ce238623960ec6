package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/link"
	"flamingospar.org/platform/site"
)

// Limits of streams.
const (
	// levelOfPriority spaces the priorities of routes and teams, so that prompts
	// which come late find room behind them.
	levelOfPriority = 2
	maxLevel        = 6
	// farShare is the part of a route's objective that it may cost to stay in
	// the data centre.
	farShare     = 0.35
	streamBuffer = 8 << 10
)

// stream is the state of one streamed answer over its attempts.
type stream struct {
	relay   *Relay
	job     *Job
	w       http.ResponseWriter
	flush   func() error
	prompt  placement.Prompt
	p       *progress
	events  events
	started bool // The head and maybe events were sent to the caller.
	began   bool // Counted as begun.
	// prefills counts the calls that had the prompt read.
	prefills int
	// readFailed says that the last attempt ended before the prompt was read.
	readFailed bool
}

// serveStream runs a request whose answer is a stream of events.
func (r *Relay) serveStream(ctx context.Context, w http.ResponseWriter, job *Job) Outcome {
	s := &stream{
		relay: r, job: job, w: w, flush: http.NewResponseController(w).Flush, prompt: job.prompt(),
		p: &progress{exclude: make(map[string]bool)},
	}
	for {
		placed := r.Engines.Place(job.Service, s.placementRequest())
		if placed.Verdict == placement.Refused || placed.Verdict == placement.NoEngine {
			return s.notPlaced(ctx, placed)
		}
		r.Meter.Count("placement", verdictName(placed.Verdict))
		result := s.try(ctx, placed)
		if result.answered {
			s.p.Attempts = s.p.sends
			return s.p.Outcome
		}
		s.p.exclude[s.p.Endpoint] = true
		if ctx.Err() != nil || !r.mayTryAgain(job, s.p, result.sent) {
			return s.giveUp(ctx, ReasonEndpointsNo, placed.RetryAfter)
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
		Level:          min(s.job.Priority*levelOfPriority, maxLevel),
		Budget:         s.job.Route.Objective - waited,
		MaxWait:        min(s.job.streamPatience()-waited, s.job.remaining(time.Now())),
		ExpectedEvents: s.relay.Engines.ExpectedEvents(s.job.Service, s.job.Caller.Prompt.LengthHint),
		Deadline:       s.job.remaining(time.Now()),
		MaxEventGap:    s.job.Route.EventGap,
		RemoteCost:     time.Duration(farShare * float64(s.job.Route.Objective)),
		Exclude:        s.p.exclude,
		MustServe:      s.started,
	}
}

func (s *stream) notPlaced(ctx context.Context, placed engines.Placed) Outcome {
	if placed.Verdict == placement.Refused {
		return s.giveUp(ctx, ReasonTooLate, placed.RetryAfter)
	}
	return s.giveUp(ctx, ReasonNoEndpoint, placed.RetryAfter)
}

// giveUp ends a stream that no endpoint goes on with.
func (s *stream) giveUp(ctx context.Context, reason Reason, least time.Duration) Outcome {
	if !s.started {
		return s.p.end(ctx, s.w, s.job, reason, least)
	}
	s.p.Reason = ReasonBroken
	if ctx.Err() != nil && time.Now().Before(s.job.Deadline) {
		s.p.Reason = ReasonCallerLeft
	}
	s.p.Attempts = s.p.sends
	return s.p.Outcome
}

// try makes one attempt: the prompt is read at one engine or at the one that
// then produces the tokens.
func (s *stream) try(ctx context.Context, placed engines.Placed) tried {
	run := site.Run{
		EndpointID: placed.DecodeAt.ID, Team: s.job.Team, Remaining: s.job.remaining(time.Now()), Priority: placed.Level,
		LastEventID: s.events.lastID, KVFetch: placed.FetchFrom,
	}
	s.p.Endpoint = placed.DecodeAt.ID
	s.p.Prefill = ""
	s.p.Level = placed.Level
	s.p.Fetched = placed.Fetched
	if placed.FetchFrom != "" && placed.Fetched == 0 {
		s.p.Fetched = -1
	}
	if placed.Prefill == nil {
		return s.decode(ctx, placed, run)
	}
	if !s.mayRead() {
		return s.decode(ctx, placed, run)
	}
	s.p.Prefill = placed.PrefillAt.ID
	handle, result, ok := s.prefill(ctx, placed, run)
	if !ok {
		s.readFailed = true
		s.p.exclude[placed.PrefillAt.ID] = true
		return result
	}
	next, ok := s.relay.Engines.Continue(s.job.Service, s.placementRequest())
	if !ok {
		return tried{sent: true}
	}
	placed.DecodeAt = next
	s.p.Endpoint = next.ID
	run.EndpointID = next.ID
	run.KVSource = handle
	run.KVFetch = ""
	run.Remaining = s.job.remaining(time.Now())
	return s.decode(ctx, placed, run)
}

func (s *stream) noteFailure(ctx context.Context, endpoint site.Endpoint, err error) {
	s.p.Err = err
	if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return // The caller left; the endpoint is not to blame.
	}
	if errors.Is(err, link.ErrNotSent) {
		s.relay.Engines.Note(endpoint.ID, engines.Unreachable)
		return
	}
	s.relay.Engines.Note(endpoint.ID, faultOf(err))
	if ctx.Err() == nil {
		s.relay.Broke(s.job, endpoint)
	}
}

// decode has the tokens produced and passes them on.
func (s *stream) decode(ctx context.Context, placed engines.Placed, run site.Run) tried {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	endpoint := placed.DecodeAt
	var ticket *engines.Ticket
	if run.KVSource == "" {
		ticket = s.relay.Engines.Send(endpoint.ID, s.prompt, placed.Level, placed.Fetched)
		s.p.Predicted = ticket.Predicted()
	} else {
		ticket = s.relay.Engines.Take(endpoint.ID, s.prompt, placed.Level)
	}
	defer ticket.Drop()
	began := time.Now()
	watch := newStallWatch(s.stallLimit(), func() bool { return s.relay.Engines.Alive(endpoint.ID) }, cancel)
	defer watch.stop()
	answer, err := s.relay.Pool.Send(ctx, endpoint.Address, s.relay.request(s.job, run, s.job.Body))
	if err != nil {
		s.p.called(endpoint.ID, began, resultOf(ctx, err))
		sent := !errors.Is(err, link.ErrNotSent)
		if sent {
			s.mayHaveRun()
		}
		s.noteFailure(ctx, endpoint, err)
		return tried{sent: sent}
	}
	s.p.sends++
	defer answer.Close()
	if answer.Meta.NotRun {
		s.p.called(endpoint.ID, began, ResultRefused)
		s.refusedDecode(endpoint, answer, run)
		return tried{sent: true}
	}
	if answer.Status != http.StatusOK {
		s.p.called(endpoint.ID, began, ResultFailed)
		return s.failedDecode(endpoint, answer)
	}
	return s.pass(ctx, endpoint, answer, ticket, watch, began)
}

func (s *stream) mayHaveRun() {
	s.p.sends++
	s.p.runs++
	s.p.Ran = true
}

// refusedDecode notes that an endpoint did not run a request. A cache that is
// gone is no fault of the endpoint that was to fetch it.
func (s *stream) refusedDecode(endpoint site.Endpoint, answer *link.Answer, run site.Run) {
	if run.KVSource != "" && !answer.Meta.Misplaced {
		s.relay.Meter.Count("endpoint", "handle_refused")
		return
	}
	s.relay.noteRefusal(endpoint, answer)
}

// failedDecode passes on an endpoint's failure, or lets another try.
func (s *stream) failedDecode(endpoint site.Endpoint, answer *link.Answer) tried {
	s.p.Ran = true
	s.p.runs++
	s.relay.Engines.Note(endpoint.ID, engines.Faulty)
	body, whole, err := readWhole(answer)
	s.p.Err = err
	if s.started || err != nil || (s.job.Repeatable() && s.p.runs < s.job.Route.MaxAttempts && answer.Status >= http.StatusInternalServerError) {
		return tried{sent: true}
	}
	s.p.Status = answer.Status
	passOn(s.w, answer, body, whole)
	return tried{answered: true, sent: true}
}

// pass sends the events of an answer to the caller as they come.
func (s *stream) pass(ctx context.Context, endpoint site.Endpoint, answer *link.Answer, ticket *engines.Ticket, watch *stallWatch, began time.Time) tried {
	s.p.runs++
	s.p.Ran = true
	ended := func() {}
	defer func() { ended() }()
	buffer := make([]byte, streamBuffer)
	first := true
	pace := pace{ledger: s.relay.Engines, endpoint: endpoint.ID}
	var meter eventMeter
	for {
		n, err := answer.Read(buffer)
		events, overlong := meter.add(buffer[:n])
		if overlong != nil {
			n, err = 0, overlong
		}
		if n > 0 {
			if events > 0 {
				watch.progress()
			}
			pace.note(buffer[:n])
			if first {
				first = false
				s.noteFirst(ticket, began)
				ended = s.relay.Engines.StreamStarted(endpoint.ID)
				s.countBegun()
			}
			if s.send(answer, buffer[:n]) != nil {
				s.p.called(endpoint.ID, began, ResultLeft)
				return s.left()
			}
		}
		if errors.Is(err, io.EOF) {
			s.p.called(endpoint.ID, began, ResultAnswered)
			if s.p.sends == 1 { // Or else it came in parts.
				s.relay.Engines.NoteAnswer(s.job.Service, s.job.Caller.Prompt.LengthHint, pace.events)
			}
			return s.finish(endpoint, answer)
		}
		if err != nil {
			s.p.called(endpoint.ID, began, resultOf(ctx, err))
			s.noteFailure(ctx, endpoint, err)
			s.events.restart()
			if !s.started && !s.job.Repeatable() {
				return tried{sent: true}
			}
			return s.broken()
		}
	}
}

// noteFirst records the time to an endpoint's first event.
func (s *stream) noteFirst(ticket *engines.Ticket, began time.Time) {
	took := time.Since(began)
	if s.p.Prefill == "" {
		s.noteRead(ticket, took)
	}
	s.p.Prediction.Decode = took
	ticket.Read()
}

func (s *stream) noteRead(ticket *engines.Ticket, took time.Duration) {
	s.p.Prediction.note(ticket.Predicted(), took)
	s.relay.Read(ticket.Predicted(), took)
}

func (s *stream) countBegun() {
	if !s.began {
		s.began = true
		s.relay.Began(s.job.Team)
	}
}

// broken decides what follows an answer that ended before its end.
func (s *stream) broken() tried {
	if s.job.Route.Resumable && (s.events.lastID != "" || !s.started) {
		return tried{sent: true}
	}
	s.p.Reason = ReasonBroken
	return tried{answered: s.started, sent: true}
}

func (s *stream) left() tried {
	s.p.Reason = ReasonCallerLeft
	return tried{answered: true, sent: true}
}

// send passes bytes on. Of a stream that may be resumed only whole events go,
// since it may go on at another endpoint.
func (s *stream) send(answer *link.Answer, data []byte) error {
	if s.job.Route.Resumable {
		data = s.events.add(data)
		if len(data) == 0 {
			return nil
		}
	}
	s.start(answer)
	if _, err := s.w.Write(data); err != nil {
		return err
	}
	return s.flush()
}

// start sends the head of the first endpoint's answer.
func (s *stream) start(answer *link.Answer) {
	if s.started {
		return
	}
	s.started = true
	s.p.First = time.Since(s.job.Arrived)
	s.p.Status = answer.Status
	site.CopyAnswerHeaders(s.w.Header(), answer.Header)
	suppressDefaults(s.w.Header())
	s.w.WriteHeader(answer.Status)
}

// finish ends a stream whose endpoint ended it.
func (s *stream) finish(endpoint site.Endpoint, answer *link.Answer) tried {
	s.relay.Engines.Note(endpoint.ID, engines.Sound)
	s.start(answer)
	if rest := s.events.rest(); len(rest) > 0 {
		if _, err := s.w.Write(rest); err != nil {
			return s.left()
		}
	}
	return tried{answered: true, sent: true}
}
