package execute

import (
	"context"
	"errors"
	"io"
	"net/http"

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
}

// NewService returns the executor of a plain service.
func NewService(s plain.Service) *Service { return &Service{service: s} }

// Execute implements pipeline.Executor.
func (s *Service) Execute(ctx context.Context, run *pipeline.Run) *wirev1.Finished {
	response, err := s.service.Do(ctx, callOf(run.Start))
	if errors.Is(err, plain.ErrNotSent) {
		return notRun(err)
	}
	run.Began = true
	if err != nil {
		return unknown(refusal.EndpointFailed, err)
	}
	defer response.Body.Close()
	if err := run.Send(headOf(response)); err != nil {
		return unknown(refusal.EndpointFailed, err)
	}
	return relayBody(run, response.Body)
}

func relayBody(run *pipeline.Run, body io.Reader) *wirev1.Finished {
	buffer := make([]byte, chunkBytes)
	offset := int64(0)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			chunk := &wirev1.Chunk{Offset: offset, Data: append([]byte(nil), buffer[:n]...)}
			offset += int64(n)
			if sendErr := run.Send(&wirev1.RunEvent{Message: &wirev1.RunEvent_Chunk{Chunk: chunk}}); sendErr != nil {
				return unknown(refusal.EndpointFailed, sendErr)
			}
		}
		if errors.Is(err, io.EOF) {
			return &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_RAN, Usage: new(wirev1.Usage)}
		}
		if err != nil {
			return unknown(refusal.EndpointFailed, err)
		}
	}
}

func callOf(start *wirev1.RunStart) plain.Call {
	header := make(http.Header, len(start.Headers))
	for _, field := range start.Headers {
		header.Add(field.Name, field.Value)
	}
	return plain.Call{RunID: start.RunId, Method: start.Method, Path: start.Path, Header: header, Body: start.Body}
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
