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

// chunkBytes is the size in which a service's answer is passed on.
const chunkBytes = 32 << 10

// Service executes calls of a plain service.
type Service struct {
	service plain.Service
	ends    ends
}

// NewService returns the executor of a plain service.
func NewService(s plain.Service, crashes *Crashes, health *Health, limits Limits) *Service {
	return &Service{service: s, ends: ends{crashes: crashes, health: health, limits: limits}}
}

// Execute implements pipeline.Executor. A call that may not be repeated is
// waited for until its deadline: nobody can take it over.
func (s *Service) Execute(parent context.Context, run *pipeline.Run) *wirev1.Finished {
	first := s.ends.limits.First
	if !run.Start.Repeatable {
		first = time.Until(run.Deadline) + time.Second
	}
	ctx := watch(parent, first)
	defer ctx.end()
	response, err := s.service.Do(ctx, callOf(run.Start))
	if errors.Is(err, plain.ErrNotSent) {
		return s.ends.notRun(refusal.EndpointDown, err)
	}
	run.Began = true
	if err != nil {
		return s.ends.broken(ctx, run, err)
	}
	defer response.Body.Close()
	ctx.pause()
	if err := run.Send(headOf(response)); err != nil {
		return s.ends.broken(ctx, run, err)
	}
	return s.relayBody(ctx, run, response.Body)
}

func (s *Service) relayBody(ctx *watched, run *pipeline.Run, body io.Reader) *wirev1.Finished {
	buffer := make([]byte, chunkBytes)
	offset := int64(0)
	for {
		ctx.resume(s.ends.limits.Next)
		n, err := body.Read(buffer)
		ctx.pause()
		if n > 0 {
			chunk := &wirev1.Chunk{Offset: offset, Data: append([]byte(nil), buffer[:n]...)}
			offset += int64(n)
			if sendErr := run.Send(&wirev1.RunEvent{Message: &wirev1.RunEvent_Chunk{Chunk: chunk}}); sendErr != nil {
				return s.ends.broken(ctx, run, sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			run.Usage = new(wirev1.Usage)
			return s.ends.ran(run)
		}
		if err != nil {
			return s.ends.broken(ctx, run, err)
		}
	}
}

func callOf(start *wirev1.RunStart) plain.Call {
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

func headOf(response *http.Response) *wirev1.RunEvent {
	head := &wirev1.Head{Status: int32(response.StatusCode)}
	for name, values := range response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &wirev1.Header{Name: name, Value: value})
		}
	}
	return &wirev1.RunEvent{Message: &wirev1.RunEvent_Head{Head: head}}
}
