package relay

import (
	"context"
	"errors"
	"time"

	"flamingospar.org/gateway/stopping"
)

// answersEnded reports whether a request ends since its process stops.
func answersEnded(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), stopping.ErrAnswersEnd)
}

// callerLeft reports whether a request ends since its caller has left.
func callerLeft(ctx context.Context, job *Job) bool {
	return ctx.Err() != nil && !answersEnded(ctx) && time.Now().Before(job.Deadline)
}

// mayBeginRun reports whether a stream may still be sent to a decode engine: a prefill elsewhere,
// or a call that failed, may have taken long. One of which the caller has a part goes on as far as it gets.
func (s *stream) mayBeginRun() bool {
	return s.headerSent || s.relay.Stopping.MayGoOn(s.job.StopRequest())
}
