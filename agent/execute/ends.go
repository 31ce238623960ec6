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

// Limits bound the silence of an endpoint whose connection is open.
type Limits struct {
	First time.Duration // Until the first part of an answer.
	Next  time.Duration // Between two parts.
}

// errSilent is the cause of a run that was given up after a limit.
var errSilent = errors.New("execute: the endpoint fell silent")

// watched is a context that ends with errSilent unless progress is reported.
type watched struct {
	context.Context
	timer *time.Timer
	stop  context.CancelCauseFunc
}

func watch(ctx context.Context, first time.Duration) *watched {
	ctx, stop := context.WithCancelCause(ctx)
	return &watched{Context: ctx, stop: stop, timer: time.AfterFunc(first, func() { stop(errSilent) })}
}

// pause stops the clock while the receiver takes what came.
func (w *watched) pause() { w.timer.Stop() }

func (w *watched) resume(limit time.Duration) { w.timer.Reset(limit) }

func (w *watched) end() {
	w.timer.Stop()
	w.stop(nil)
}

// ends turns errors into the typed ends of runs.
type ends struct {
	crashes *Crashes
	health  *Health
	limits  Limits
}

func (e ends) ran(run *pipeline.Run) *wirev1.Finished {
	return &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_RAN, Usage: run.Usage}
}

func (e ends) notRun(code refusal.Code, err error) *wirev1.Finished {
	e.health.Suspect()
	return &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_NOT_RUN, Code: string(code), Detail: err.Error()}
}

// broken is the end of a run that began and whose answer did not end.
func (e ends) broken(ctx *watched, run *pipeline.Run, err error) *wirev1.Finished {
	finished := &wirev1.Finished{Outcome: wirev1.Outcome_OUTCOME_UNKNOWN, Usage: run.Usage, Detail: err.Error()}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errSilent):
		finished.Code = string(refusal.EndpointSilent)
	case errors.Is(cause, context.DeadlineExceeded):
		finished.Code = string(refusal.DeadlineExceeded)
	case cause != nil:
		finished.Code = string(refusal.RunCancelled)
	default:
		finished.Code = string(refusal.EndpointFailed)
		finished.CrashId = e.crashes.BrokeOff(run)
		e.health.Suspect()
		if finished.CrashId != "" {
			finished.Code = string(refusal.EndpointCrashed)
		}
	}
	return finished
}

// beforeAnswer is the end of a generation that has no answer.
func (e ends) beforeAnswer(ctx *watched, run *pipeline.Run, err error) *wirev1.Finished {
	switch {
	case errors.Is(err, engine.ErrInconsistent):
		return e.notRun(refusal.ResumeInconsistent, err)
	case errors.Is(err, engine.ErrRejected):
		return e.notRun(refusal.EndpointRejected, err)
	case errors.Is(err, engine.ErrNotSent), errors.Is(err, engine.ErrRefused):
		return e.notRun(refusal.EndpointDown, err)
	default:
		run.Began = true
		return e.broken(ctx, run, err)
	}
}
