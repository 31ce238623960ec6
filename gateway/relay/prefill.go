package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/link"
	"flamingospar.org/platform/site"
)

// Limits of reading a prompt at an engine of its own.
const (
	// prefillShare is the part of the time left that reading a prompt may take.
	prefillShare = 0.7
	// readPatience and readSlack bound how long reading a prompt may take, by the
	// time that it was expected to take.
	readPatience = 3
	readSlack    = 500 * time.Millisecond
	// maxPrefillAnswer is the largest answer to a prompt that was read, in bytes.
	maxPrefillAnswer = 64 << 10
)

// mayRead reports whether the prompt may be read apart: once, and again within
// the retry budget. A second call that replaces a failed first was paid as a
// retry already.
func (s *stream) mayRead() bool {
	if s.prefills > 0 && !s.readFailed && !s.relay.Budgets.take(s.job.Service, 1) {
		return false
	}
	s.prefills++
	s.readFailed = false
	return true
}

// prefill has a prompt read and returns the handle of its cache.
func (s *stream) prefill(ctx context.Context, placed engines.Placed, run site.Run) (string, tried, bool) {
	endpoint := placed.PrefillAt
	run.EndpointID = endpoint.ID
	run.PrefillOnly = true
	run.LastEventID = ""
	ticket := s.relay.Engines.Send(endpoint.ID, s.prompt, placed.Level, placed.Fetched)
	defer ticket.Drop()
	s.p.Predicted = ticket.Predicted()
	ctx, cancel := context.WithTimeout(ctx, s.readLimit(ticket.Predicted()))
	defer cancel()
	began := time.Now()
	answer, err := s.relay.Pool.Send(ctx, endpoint.Address, s.relay.request(s.job, run, s.job.Body))
	if err != nil {
		s.p.called(endpoint.ID, began, resultOf(ctx, err))
		s.noteFailure(ctx, endpoint, err)
		return "", tried{sent: !errors.Is(err, link.ErrNotSent)}, false
	}
	defer answer.Close()
	body, err := io.ReadAll(io.LimitReader(answer, maxPrefillAnswer))
	if err != nil || answer.Status != http.StatusOK {
		s.prefillRefused(ctx, endpoint, answer, began, err)
		return "", tried{sent: true}, false
	}
	read, err := site.ParsePrefillAnswer(body)
	if err != nil {
		s.p.called(endpoint.ID, began, ResultFailed)
		s.noteFailure(ctx, endpoint, err)
		return "", tried{sent: true}, false
	}
	s.p.called(endpoint.ID, began, ResultRead)
	s.noteRead(ticket, time.Since(began))
	ticket.Read()
	s.relay.Engines.Note(endpoint.ID, engines.Sound)
	return site.KVSource(endpoint.Address, read.Handle), tried{}, true
}

// readLimit is how long an engine may take to read a prompt before another is
// asked. To read a prompt is not to run it, so it may be read again.
func (s *stream) readLimit(predicted time.Duration) time.Duration {
	most := time.Duration(prefillShare * float64(s.job.remaining(time.Now())))
	return min(readPatience*predicted+readSlack, most)
}

func (s *stream) prefillRefused(ctx context.Context, endpoint site.Endpoint, answer *link.Answer, began time.Time, err error) {
	if err != nil {
		s.p.called(endpoint.ID, began, resultOf(ctx, err))
		s.noteFailure(ctx, endpoint, err)
		return
	}
	s.p.called(endpoint.ID, began, ResultRefused)
	s.relay.noteRefusal(endpoint, answer)
}
