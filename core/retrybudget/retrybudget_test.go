package retrybudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/retrybudget"
)

var settings = retrybudget.Settings{Window: 10 * time.Second, Ratio: 0.2, Allowance: 13.5}

// Guards against retry storms when many endpoints fail at once and every request
// asks for a retry: no window exceeds the bound, whatever the sequence of calls.
func TestRetriesStayWithinTheBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := retrybudget.New(settings)
		now := time.Unix(1_000_000, 0)
		type event struct {
			at      time.Time
			retries int
		}
		var requests, retries []event
		for range rapid.IntRange(10, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			budget.AddRequest(now)
			requests = append(requests, event{at: now})
			calls := rapid.IntRange(1, 2).Draw(t, "retry")
			if budget.Take(now, calls) {
				retries = append(retries, event{at: now, retries: calls})
			}
		}
		for _, end := range retries {
			from := end.at.Add(-settings.Window)
			sent, asked := 0, 0
			for _, r := range retries {
				if r.at.After(from) && !r.at.After(end.at) {
					sent += r.retries
				}
			}
			for _, r := range requests {
				if r.at.After(from) && !r.at.After(end.at) {
					asked++
				}
			}
			if bound := settings.Ratio*float64(asked) + settings.Allowance; float64(sent) > bound {
				t.Fatalf("%d retries in a window of %d requests, allowed %.1f", sent, asked, bound)
			}
		}
	})
}

func TestQuietServiceMayRetry(t *testing.T) {
	budget := retrybudget.New(settings)
	require.True(t, budget.Take(time.Unix(1_000_000, 0), 2))
}
