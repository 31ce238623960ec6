package outage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Load: the engines that could go on with the streams of a version crash and are back after two
// seconds or more. Their callers, each with a part of its time used up, are refused and return once.
// Guards against: they return while the engines are still away, are refused again and give up.
func TestCallersReturnOnceWhenEnginesAreBack(t *testing.T) {
	const spread = 300 * time.Millisecond
	for _, timeLimit := range []time.Duration{8 * time.Second, 10 * time.Second} {
		served, callers := 0, 0
		for used := time.Duration(0); used < timeLimit/4; used += 50 * time.Millisecond {
			callers++
			if RetryAfterCrash(timeLimit-used, spread) >= 2*time.Second { // Without the random time.
				served++
			}
		}
		require.Greater(t, served, callers/2, "time limit of %s", timeLimit)
	}
}

// A caller that waits for a third of its time at most ignores a longer one, and returns with all
// others or gives up.
func TestCallersAreNotAskedToWaitLongerThanTheyDo(t *testing.T) {
	const spread = 300 * time.Millisecond
	for left := 3 * time.Second; left < 12*time.Second; left += 100 * time.Millisecond {
		require.LessOrEqual(t, RetryAfterCrash(left, spread)+spread, left/3, "left %s", left)
	}
	require.Equal(t, minCrashRetryAfter, RetryAfterCrash(time.Second, spread), "an engine takes longer to start again")
	require.Equal(t, maxCrashRetryAfter, RetryAfterCrash(time.Hour, spread), "an engine may be back long before")
}
