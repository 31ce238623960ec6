package clock

import (
	"context"
	"time"
)

// Sleep waits for a duration or until ctx ends, and reports whether ctx has not
// ended. A duration that is not positive only looks at ctx.
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
