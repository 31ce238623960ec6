// Package execute runs admitted runs on the endpoint: generations on an engine
// or calls of a plain service.
package execute

import (
	"context"
	"errors"
	"io"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/platform/engine"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Model executes generations.
type Model struct {
	engine engine.Engine
	ends   ends
}

// NewModel returns the executor of an engine.
func NewModel(e engine.Engine, crashes *Crashes, health *Health, limits Limits) *Model {
	return &Model{engine: e, ends: ends{crashes: crashes, health: health, limits: limits}}
}

// Execute implements pipeline.Executor.
func (m *Model) Execute(parent context.Context, run *pipeline.Run) *wirev1.Finished {
	ctx := watch(parent, m.ends.limits.First)
	defer ctx.end()
	start := run.Start
	stream, err := m.engine.Generate(ctx, engine.Generation{
		RunID:        start.RunId,
		Path:         start.Path,
		Body:         start.Body,
		Priority:     start.Priority,
		ResumeTokens: start.ResumeTokens,
		ResumeText:   start.ResumeText,
	})
	if err != nil {
		return m.ends.beforeAnswer(ctx, run, err)
	}
	defer stream.Close()
	run.Began = true
	return m.relay(ctx, run, stream)
}

func (m *Model) relay(ctx *watched, run *pipeline.Run, stream engine.Stream) *wirev1.Finished {
	finishReason := ""
	offset := run.Start.ResumeOffset
	for {
		delta, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			finished := m.ends.ran(run)
			finished.FinishReason = finishReason
			return finished
		}
		if err != nil {
			return m.ends.broken(ctx, run, err)
		}
		if delta.Usage != nil {
			run.Usage = wireUsage(delta.Usage)
		}
		if delta.FinishReason != "" {
			finishReason = delta.FinishReason
		}
		ctx.pause()
		if err := sendDelta(run, delta, &offset); err != nil {
			return m.ends.broken(ctx, run, err)
		}
		ctx.resume(m.ends.limits.Next)
	}
}

func sendDelta(run *pipeline.Run, delta engine.Delta, offset *int64) error {
	if delta.Text == "" {
		return nil
	}
	chunk := &wirev1.Chunk{Offset: *offset, Data: []byte(delta.Text), Tokens: delta.Tokens}
	*offset += int64(len(chunk.Data))
	return run.Send(&wirev1.RunEvent{Message: &wirev1.RunEvent_Chunk{Chunk: chunk}})
}

func wireUsage(usage *engine.Usage) *wirev1.Usage {
	return &wirev1.Usage{
		PromptTokens: usage.PromptTokens,
		CachedTokens: usage.CachedTokens,
		OutputTokens: usage.OutputTokens,
	}
}
