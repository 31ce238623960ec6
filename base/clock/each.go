package clock

import (
	"context"
	"time"
)

// Each calls f at each end of an interval until ctx ends. A call that takes
// longer than the interval puts off the next.
func Each(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
