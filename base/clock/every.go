package clock

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends; the first call is after one
// interval. Calls don't overlap: ticks that occur during a long call are dropped,
// except for one.
func Every(ctx context.Context, interval time.Duration, f func()) {
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
