package retry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/refusal"
	"flamingospar.org/core/retry"
)

// TestRetriesAreSafe guards against a second execution of a request that may not
// be repeated, against a partial answer that starts again, and against a backoff
// beyond the deadline.
func TestRetriesAreSafe(t *testing.T) {
	codes := []refusal.Code{refusal.EndpointFailed, refusal.EndpointCrashed, refusal.NoEndpoint, refusal.Draining, refusal.RunDuplicate, refusal.QueueFull}
	rapid.Check(t, func(t *rapid.T) {
		ended := retry.EndedAttempt{
			Outcome:    refusal.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")),
			Code:       rapid.SampledFrom(codes).Draw(t, "code"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Resumable:  rapid.Bool().Draw(t, "resumable"),
			Received:   rapid.Bool().Draw(t, "received"),
			Attempts:   rapid.IntRange(1, 6).Draw(t, "attempts"),
			Handovers:  rapid.IntRange(0, 9).Draw(t, "handovers"),
			Remaining:  time.Duration(rapid.IntRange(-100, 2000).Draw(t, "remaining")) * time.Millisecond,
			Jitter:     rapid.Float64Range(0, 0.999).Draw(t, "jitter"),
		}
		decision := retry.Decide(ended)
		if decision.Kind == retry.None {
			require.NotEmpty(t, decision.Denied)
			return
		}
		require.Greater(t, ended.Remaining, decision.Backoff)
		if decision.Kind == retry.Resume {
			require.True(t, ended.Resumable && ended.Received)
			return
		}
		require.False(t, ended.Received, "a partial answer is started again")
		require.True(t, ended.Repeatable || ended.Outcome == refusal.NotRun)
	})
}

// TestBudgetBoundsRetries guards against retry storms: every request asks for a
// retry.
func TestBudgetBoundsRetries(t *testing.T) {
	const requests = 100_000
	budget := retry.NewBudget()
	retries := 0
	for range requests {
		budget.AddRequest()
		if budget.Take(retry.Restart) {
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), requests*retry.BudgetRatio+retry.BudgetBurst)
	require.True(t, budget.Take(retry.Resume), "the reserve is kept for resumed answers")
}
