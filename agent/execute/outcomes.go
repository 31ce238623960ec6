package execute

import (
	"context"
	"errors"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
	"flamingospar.org/platform/engine"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// SilenceLimits bound how long an endpoint may send nothing on an open connection.
type SilenceLimits struct {
	First time.Duration // Until the first part of the response.
	Next  time.Duration // Between two parts of the response.
}

// errEndpointSilent is the cancellation cause of a run that exceeded a silence limit.
var errEndpointSilent = errors.New("execute: the endpoint stopped sending")

// progressContext is a context that is cancelled with errEndpointSilent when its
// silence timer expires.
type progressContext struct {
	context.Context
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func withSilenceLimit(ctx context.Context, first time.Duration) *progressContext {
	ctx, cancel := context.WithCancelCause(ctx)
	return &progressContext{Context: ctx, cancel: cancel, timer: time.AfterFunc(first, func() { cancel(errEndpointSilent) })}
}

// pause stops the timer while received data is forwarded to the entry.
func (c *progressContext) pause() { c.timer.Stop() }

func (c *progressContext) resume(limit time.Duration) { c.timer.Reset(limit) }

func (c *progressContext) close() {
	c.timer.Stop()
	c.cancel(nil)
}

// outcomes turns errors into the typed outcomes of runs.
type outcomes struct {
	detector *CrashDetector
	health   *HealthChecker
	limits   SilenceLimits
}

func (o outcomes) ran(run *pipeline.Run) *wirev1.Finished {
	return &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_RAN, Usage: run.Usage}
}

func (o outcomes) notRun(code refusal.Code, err error) *wirev1.Finished {
	o.health.RequestProbe()
	return &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_NOT_RUN, Code: string(code), Detail: err.Error()}
}

// interrupted returns the outcome of a run that began and whose response is
// incomplete.
func (o outcomes) interrupted(ctx *progressContext, run *pipeline.Run, err error) *wirev1.Finished {
	finished := &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_UNKNOWN, Usage: run.Usage, Detail: err.Error()}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errEndpointSilent):
		finished.Code = string(refusal.EndpointSilent)
	case errors.Is(cause, context.DeadlineExceeded):
		finished.Code = string(refusal.DeadlineExceeded)
	case cause != nil:
		finished.Code = string(refusal.RunCancelled)
	default:
		finished.Code = string(refusal.EndpointFailed)
		finished.CrashId = o.detector.DetectCrash(run)
		o.health.RequestProbe()
		if finished.CrashId != "" {
			finished.Code = string(refusal.EndpointCrashed)
		}
	}
	return finished
}

// generateFailed returns the outcome of a generation whose call failed before a
// response.
func (o outcomes) generateFailed(ctx *progressContext, run *pipeline.Run, err error) *wirev1.Finished {
	switch {
	case errors.Is(err, engine.ErrInconsistent):
		return o.notRun(refusal.ResumeInconsistent, err)
	case errors.Is(err, engine.ErrRejected):
		return o.notRun(refusal.EndpointRejected, err)
	case errors.Is(err, engine.ErrNotSent), errors.Is(err, engine.ErrRefused):
		return o.notRun(refusal.EndpointDown, err)
	default:
		run.Began = true
		return o.interrupted(ctx, run, err)
	}
}
