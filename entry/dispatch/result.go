package dispatch

import (
	"time"

	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Result is the result of one attempt.
type Result struct {
	Outcome        refusal.Outcome
	Refused        *refusal.Refusal // Nil when Outcome is Ran.
	FinishReason   string
	Usage          *wirev1.Usage // As counted by the engine, also for a run that was cut short.
	CrashID        string        // The endpoint crash that ended the run, if any.
	BetterEndpoint string        // Another endpoint that would accept the run, if known.
}

func refusedResult(refused *wirev1.Refused) Result {
	retryAfter := time.Duration(refused.RetryAfterMillis) * time.Millisecond
	code := refusal.Code(refused.Code)
	if code == refusal.RunDuplicate {
		// The copy that the agent received first may have run.
		return unknownResult(code, "%s", refused.Detail)
	}
	result := notRunResult(refusal.New(code, "%s", refused.Detail).WithRetryAfter(retryAfter))
	result.BetterEndpoint = refused.BetterEndpoint
	return result
}

func finishedResult(finished *wirev1.Finished) Result {
	result := Result{Usage: finished.Usage, FinishReason: finished.FinishReason, CrashID: finished.CrashId}
	switch finished.Outcome {
	case wirev1.Outcome_OUTCOME_RAN:
		result.Outcome = refusal.Ran
	case wirev1.Outcome_OUTCOME_NOT_RUN:
		result.Outcome = refusal.NotRun
		result.Refused = refusal.New(refusal.Code(finished.Code), "%s", finished.Detail)
	default:
		result.Outcome = refusal.Unknown
		result.Refused = refusal.NewUnknown(refusal.Code(finished.Code), "%s", finished.Detail)
	}
	return result
}

func notRunResult(refused *refusal.Refusal) Result {
	return Result{Outcome: refusal.NotRun, Refused: refused}
}

func unknownResult(code refusal.Code, format string, args ...any) Result {
	return Result{Outcome: refusal.Unknown, Refused: refusal.NewUnknown(code, format, args...)}
}
