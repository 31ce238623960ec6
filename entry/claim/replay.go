package claim

import (
	"context"
	"time"

	core "flamingospar.org/core/claim"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// actionNames are the counter names for submissions whose key was already
// claimed.
var actionNames = map[core.Action]string{
	core.Replay:          "replayed",
	core.AnswerNotStored: "answer_not_stored",
	core.Mismatch:        "mismatch",
	core.InProgress:      "in_progress",
	core.OutcomeUnknown:  "unknown",
	core.MarkUnknown:     "turned_unknown",
}

// answerClaimed answers a submission whose key was already claimed.
func (f *Filter) answerClaimed(ctx context.Context, x *pipeline.Exchange, row core.Row, request string) *refusal.Refusal {
	now := time.Now()
	action := core.Decide(row, request, now)
	f.counter.Count("claim", actionNames[action])
	switch action {
	case core.Replay:
		return f.replay(ctx, x, *row.Answer)
	case core.AnswerNotStored:
		refused := refusal.New(refusal.IdempotencyNoAnswer, "the request with this key ran")
		refused.Outcome = refusal.Ran
		return refused
	case core.Mismatch:
		return refusal.New(refusal.IdempotencyMismatch, "the key was used for a different request")
	case core.InProgress:
		wait := min(max(row.Remaining(now), time.Second), maxInProgressRetryAfter)
		return refusal.NewUnknown(refusal.IdempotencyRunning, "the request with this key is in progress").WithRetryAfter(wait)
	case core.MarkUnknown:
		f.outcomes.markUnknown(row)
	}
	return refusal.NewUnknown(refusal.IdempotencyUnknown, "the request with this key may have run")
}

// replay sends a stored answer.
func (f *Filter) replay(ctx context.Context, x *pipeline.Exchange, answer core.Answer) *refusal.Refusal {
	body := answer.Body
	if answer.Object != "" {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		stored, err := f.objects.Get(ctx, answer.Object)
		if err != nil {
			refused := refusal.New(refusal.StoreUnavailable, "the stored answer could not be read: %v", err).WithRetryAfter(storeRetryAfter)
			refused.Outcome = refusal.Ran
			return refused
		}
		body = stored
	}
	header := x.Writer.Header()
	for name, values := range answer.Headers {
		header[name] = append(header[name], values...)
	}
	header.Set(HeaderReplayed, "true")
	x.ResponseStarted = true
	x.Answered = true
	x.Outcome = refusal.Ran
	x.Writer.WriteHeader(answer.Status)
	if _, err := x.Writer.Write(body); err != nil {
		f.counter.Count("caller_left")
	}
	return nil
}
