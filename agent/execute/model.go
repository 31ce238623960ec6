// Package execute executes admitted runs on the endpoint: generations on an
// engine or calls to a plain service.
package execute

import (
	"context"
	"errors"
	"io"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/platform/engine"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// ModelExecutor executes generations on an engine.
type ModelExecutor struct {
	engine   engine.Engine
	outcomes outcomes
}

// NewModelExecutor returns an executor for e.
func NewModelExecutor(e engine.Engine, detector *CrashDetector, health *HealthChecker, limits SilenceLimits) *ModelExecutor {
	return &ModelExecutor{engine: e, outcomes: outcomes{detector: detector, health: health, limits: limits}}
}

func (m *ModelExecutor) Execute(parent context.Context, run *pipeline.Run) *wirev1.Finished {
	ctx := withSilenceLimit(parent, m.outcomes.limits.First)
	defer ctx.close()
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
		return m.outcomes.generateFailed(ctx, run, err)
	}
	defer stream.Close()
	run.Began = true
	return m.relay(ctx, run, stream)
}

func (m *ModelExecutor) relay(ctx *progressContext, run *pipeline.Run, stream engine.Stream) *wirev1.Finished {
	finishReason := ""
	offset := run.Start.ResumeOffset
	for {
		delta, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			finished := m.outcomes.ran(run)
			finished.FinishReason = finishReason
			return finished
		}
		if err != nil {
			return m.outcomes.interrupted(ctx, run, err)
		}
		if delta.Usage != nil {
			run.Usage = wireUsage(delta.Usage)
		}
		if delta.FinishReason != "" {
			finishReason = delta.FinishReason
		}
		ctx.pause()
		if err := sendDelta(run, delta, &offset); err != nil {
			return m.outcomes.interrupted(ctx, run, err)
		}
		ctx.resume(m.outcomes.limits.Next)
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
