package server

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/agent/status"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// sender serialises the events that are sent on one stream.
type sender struct {
	mu     sync.Mutex
	stream *runStream
	status *status.Status
	closed bool
}

func (s *sender) send(event *wirev1.RunEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errRunFinished
	}
	return s.stream.Send(event)
}

func (s *sender) sendHeartbeats(ctx context.Context, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			event := &wirev1.RunEvent{Message: &wirev1.RunEvent_Heartbeat{Heartbeat: new(wirev1.Heartbeat)}, Load: s.status.Load()}
			if s.send(event) != nil {
				return
			}
		}
	}
}

// finish sends the final event of the run. Later sends fail.
func (s *sender) finish(run *pipeline.Run, finished *wirev1.Finished, refused *refusal.Refusal) error {
	event := &wirev1.RunEvent{Load: s.status.Load(), TeamFraction: run.TeamFraction}
	if refused != nil {
		event.Message = &wirev1.RunEvent_Refused{Refused: &wirev1.Refused{
			Code:             string(refused.Code),
			Detail:           refused.Detail,
			RetryAfterMillis: refused.RetryAfter.Milliseconds(),
		}}
	} else {
		event.Message = &wirev1.RunEvent_Finished{Finished: finished}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return s.stream.Send(event)
}
