// Package execute runs admitted runs on the endpoint: generations on an engine
// or calls of a plain service.
package execute

import (
	"context"
	"errors"
	"io"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
	"flamingospar.org/platform/engine"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Model executes generations.
type Model struct {
	engine engine.Engine
}

// NewModel returns the executor of an engine.
func NewModel(e engine.Engine) *Model { return &Model{engine: e} }

// Execute implements pipeline.Executor.
func (m *Model) Execute(ctx context.Context, run *pipeline.Run) *wirev1.Finished {
	start := run.Start
	stream, err := m.engine.Generate(ctx, engine.Generation{
		RunID:        start.RunId,
		Path:         start.Path,
		Body:         start.Body,
		Priority:     start.Priority,
		ResumeTokens: start.ResumeTokens,
	})
	if err != nil {
		return failedBeforeAnswer(err)
	}
	defer stream.Close()
	run.Began = true
	return relay(run, stream)
}

func relay(run *pipeline.Run, stream engine.Stream) *wirev1.Finished {
	finished := &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_RAN}
	offset := int64(0)
	for {
		delta, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			finished.Usage = run.Usage
			return finished
		}
		if err != nil {
			return unknown(refusal.EndpointFailed, err)
		}
		if delta.Usage != nil {
			run.Usage = wireUsage(delta.Usage)
		}
		if delta.FinishReason != "" {
			finished.FinishReason = delta.FinishReason
		}
		if delta.Text == "" {
			continue
		}
		chunk := &wirev1.Chunk{Offset: offset, Data: []byte(delta.Text), Tokens: delta.Tokens}
		offset += int64(len(chunk.Data))
		if err := run.Send(&wirev1.RunEvent{Message: &wirev1.RunEvent_Chunk{Chunk: chunk}}); err != nil {
			return unknown(refusal.EndpointFailed, err)
		}
	}
}

func wireUsage(usage *engine.Usage) *wirev1.Usage {
	return &wirev1.Usage{
		PromptTokens: usage.PromptTokens,
		CachedTokens: usage.CachedTokens,
		OutputTokens: usage.OutputTokens,
	}
}

func failedBeforeAnswer(err error) *wirev1.Finished {
	if errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrRefused) {
		return notRun(err)
	}
	return unknown(refusal.EndpointFailed, err)
}

func notRun(err error) *wirev1.Finished {
	return &wirev1.Finished{
		Outcome: wirev1.Outcome_OUTCOME_NOT_RUN,
		Code:    string(refusal.NoEndpoint),
		Detail:  err.Error(),
	}
}

func unknown(code refusal.Code, err error) *wirev1.Finished {
	return &wirev1.Finished{
		Outcome: wirev1.Outcome_OUTCOME_UNKNOWN,
		Code:    string(code),
		Detail:  err.Error(),
	}
}
