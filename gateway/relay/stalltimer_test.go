package relay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// During a burst of long prompts, a request that is queued at an engine is not
// cancelled while the engine responds to other requests, and is cancelled once it
// responds to none.
func TestStallTimerWaitsForABusyEngine(t *testing.T) {
	const timeout = time.Second
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var stalledAfter atomic.Int64
		timer := newStallTimer(timeout, func() bool { return time.Since(start) < 3*timeout }, func() { stalledAfter.Store(int64(time.Since(start))) })
		time.Sleep(2 * timeout)
		require.Zero(t, stalledAfter.Load())
		time.Sleep(2 * timeout)
		require.GreaterOrEqual(t, time.Duration(stalledAfter.Load()), 3*timeout)
		require.Less(t, time.Duration(stalledAfter.Load()), 3*timeout+timeout/2)
		timer.stop()
	})
}

// A stream that stalls after its first event is cancelled even though its engine
// responds to other requests: it was preempted or lost.
func TestStallTimerEndsAStalledStream(t *testing.T) {
	const timeout = time.Second
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		var stalledAfter atomic.Int64
		timer := newStallTimer(timeout, func() bool { return true }, func() { stalledAfter.Store(int64(time.Since(start))) })
		for range 5 {
			time.Sleep(timeout / 2)
			timer.progress()
		}
		time.Sleep(2 * timeout)
		require.Equal(t, 5*timeout/2+timeout, time.Duration(stalledAfter.Load()))
		timer.stop()
	})
}

// A stopped timer and one without a timeout never fire.
func TestStallTimerStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newStallTimer(0, nil, func() { t.Error("a timer with timeout 0 fired") })
		timer := newStallTimer(time.Second, func() bool { return false }, func() { t.Error("a stopped timer fired") })
		timer.stop()
		time.Sleep(3 * time.Second)
	})
}
