package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// Limits of a prefill call to a separate engine.
const (
	// prefillTimeShare is the share of the time to the deadline that the call may take.
	prefillTimeShare = 0.7
	// prefillTimeoutFactor and prefillTimeoutMargin give the timeout of the call as a
	// multiple of the predicted time plus a margin.
	prefillTimeoutFactor = 3
	prefillTimeoutMargin = 500 * time.Millisecond
	// maxPrefillResponseBytes is the size limit of the response to a prefill call.
	maxPrefillResponseBytes = 64 << 10
)

// mayPrefill reports whether a prefill call to a separate engine may be made. Further
// calls are limited by the retry budget, except after a failed call: the new attempt
// was taken from the budget already.
func (s *stream) mayPrefill() bool {
	if s.prefillCalls > 0 && !s.prefillFailed && !s.relay.RetryBudgets.take(s.job.Service, 1) {
		return false
	}
	s.prefillCalls++
	s.prefillFailed = false
	return true
}

// prefill runs the prefill on a separate engine and returns the source of the KV
// cache, or false and the result of the attempt if the call failed.
func (s *stream) prefill(ctx context.Context, placed engines.Placement, run site.RunHeaders) (string, attemptResult, bool) {
	endpoint := placed.PrefillEndpoint
	run.EndpointID = endpoint.ID
	run.PrefillOnly = true
	run.LastEventID = ""
	assignment := s.relay.Selector.Send(endpoint.ID, s.prompt, placed.Level, placed.Fetched)
	defer assignment.Cancel()
	s.progress.PredictedPrefill = assignment.Predicted()
	ctx, cancel := context.WithTimeoutCause(ctx, s.prefillTimeout(assignment.Predicted()), errSilent)
	defer cancel()
	start := time.Now()
	response, err := s.relay.send(ctx, endpoint, s.relay.newRequest(s.job, run, s.job.Body))
	if err != nil {
		s.progress.recordCall(endpoint.ID, start, resultOfError(ctx, err))
		s.recordFailure(ctx, endpoint, runProgress{prefill: true, sent: start}, err)
		return "", attemptResult{sent: !errors.Is(err, transport.ErrNotSent)}, false
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxPrefillResponseBytes))
	if err != nil || response.Status != http.StatusOK {
		s.recordPrefillRefusal(ctx, endpoint, response, start, err)
		return "", attemptResult{sent: true}, false
	}
	prefilled, err := site.ParsePrefillResponse(body)
	if err != nil {
		s.progress.recordCall(endpoint.ID, start, ResultFailed)
		s.recordFailure(ctx, endpoint, runProgress{prefill: true, sent: start}, err)
		return "", attemptResult{sent: true}, false
	}
	s.progress.recordCall(endpoint.ID, start, ResultPrefilled)
	s.recordPrefill(assignment, time.Since(start))
	assignment.PrefillDone()
	s.relay.Selector.RecordResult(endpoint.ID, engines.RequestSucceeded)
	return site.KVSource(endpoint.Address, prefilled.Handle), attemptResult{}, true
}

// prefillTimeout returns the time after which a prefill call is cancelled and another
// engine is tried. Prefill alone does not count as running a request, so it may be
// repeated.
func (s *stream) prefillTimeout(predicted time.Duration) time.Duration {
	limit := time.Duration(prefillTimeShare * float64(s.job.remaining(time.Now())))
	return min(prefillTimeoutFactor*predicted+prefillTimeoutMargin, limit)
}

func (s *stream) recordPrefillRefusal(ctx context.Context, endpoint site.Endpoint, response *transport.Response, start time.Time, err error) {
	if err != nil {
		s.progress.recordCall(endpoint.ID, start, resultOfError(ctx, err))
		s.recordFailure(ctx, endpoint, runProgress{prefill: true, sent: start}, err)
		return
	}
	s.progress.recordCall(endpoint.ID, start, ResultRefused)
	s.relay.recordRefusal(endpoint, response)
}
