package clock

import (
	"context"
	"time"
)

// Sleep waits until the duration has passed or ctx ends, and reports whether the
// full duration has passed. If the duration is not positive, it doesn't wait and
// reports whether ctx is still active.
func Sleep(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
