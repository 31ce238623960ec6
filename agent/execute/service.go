package execute

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
	"flamingospar.org/platform/plain"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// chunkBytes is the maximum size of the chunks in which a service's response
// body is forwarded.
const chunkBytes = 32 << 10

// ServiceExecutor executes calls to a plain service.
type ServiceExecutor struct {
	service  plain.Service
	outcomes outcomes
}

// NewServiceExecutor returns an executor for s.
func NewServiceExecutor(s plain.Service, detector *CrashDetector, health *HealthChecker, limits SilenceLimits) *ServiceExecutor {
	return &ServiceExecutor{service: s, outcomes: outcomes{detector: detector, health: health, limits: limits}}
}

// Execute implements pipeline.Executor. A call that may not be repeated is waited
// for until its deadline, since it can't be retried elsewhere: its first-response
// limit is later than the deadline.
func (s *ServiceExecutor) Execute(parent context.Context, run *pipeline.Run) *wirev1.Finished {
	first := s.outcomes.limits.First
	if !run.Start.Repeatable {
		first = time.Until(run.Deadline) + time.Second
	}
	ctx := withSilenceLimit(parent, first)
	defer ctx.close()
	response, err := s.service.Do(ctx, newCall(run.Start))
	if errors.Is(err, plain.ErrNotSent) {
		return s.outcomes.notRun(refusal.EndpointDown, err)
	}
	run.Began = true
	if err != nil {
		return s.outcomes.interrupted(ctx, run, err)
	}
	defer response.Body.Close()
	ctx.pause()
	if err := run.Send(headEvent(response)); err != nil {
		return s.outcomes.interrupted(ctx, run, err)
	}
	return s.relayBody(ctx, run, response.Body)
}

func (s *ServiceExecutor) relayBody(ctx *progressContext, run *pipeline.Run, body io.Reader) *wirev1.Finished {
	buffer := make([]byte, chunkBytes)
	offset := int64(0)
	for {
		ctx.resume(s.outcomes.limits.Next)
		n, err := body.Read(buffer)
		ctx.pause()
		if n > 0 {
			chunk := &wirev1.Chunk{Offset: offset, Data: append([]byte(nil), buffer[:n]...)}
			offset += int64(n)
			if sendErr := run.Send(&wirev1.RunEvent{Message: &wirev1.RunEvent_Chunk{Chunk: chunk}}); sendErr != nil {
				return s.outcomes.interrupted(ctx, run, sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			run.Usage = new(wirev1.Usage)
			return s.outcomes.ran(run)
		}
		if err != nil {
			return s.outcomes.interrupted(ctx, run, err)
		}
	}
}

func newCall(start *wirev1.RunStart) plain.Call {
	header := make(http.Header, len(start.Headers))
	for _, field := range start.Headers {
		header.Add(field.Name, field.Value)
	}
	return plain.Call{
		RunID:      start.RunId,
		Method:     start.Method,
		Path:       start.Path,
		Header:     header,
		Body:       start.Body,
		Repeatable: start.Repeatable,
	}
}

func headEvent(response *http.Response) *wirev1.RunEvent {
	head := &wirev1.Head{Status: int32(response.StatusCode)}
	for name, values := range response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wirev1.Header{Name: name, Value: value})
		}
	}
	return &wirev1.RunEvent{Message: &wirev1.RunEvent_Head{Head: head}}
}
