package relay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: a burst of long prompts. An engine that answers others has not
// forgotten a request that waits its turn; one that is silent to all has.
func TestStallWatchLeavesABusyEngineItsTime(t *testing.T) {
	const limit = time.Second
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var ended atomic.Int64
		w := newStallWatch(limit, func() bool { return time.Since(began) < 3*limit }, func() { ended.Store(int64(time.Since(began))) })
		time.Sleep(2 * limit)
		require.Zero(t, ended.Load())
		time.Sleep(2 * limit)
		require.GreaterOrEqual(t, time.Duration(ended.Load()), 3*limit)
		require.Less(t, time.Duration(ended.Load()), 3*limit+limit/2)
		w.stop()
	})
}

// A stream that has begun and stops is given up, though its engine answers
// others: it was preempted, or lost.
func TestStallWatchEndsAStreamThatStops(t *testing.T) {
	const limit = time.Second
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var ended atomic.Int64
		w := newStallWatch(limit, func() bool { return true }, func() { ended.Store(int64(time.Since(began))) })
		for range 5 {
			time.Sleep(limit / 2)
			w.progress()
		}
		time.Sleep(2 * limit)
		require.Equal(t, 5*limit/2+limit, time.Duration(ended.Load()))
		w.stop()
	})
}

// What ended in time is not ended again.
func TestStallWatchStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		newStallWatch(0, nil, func() { t.Error("a limit of 0 ended") })
		w := newStallWatch(time.Second, func() bool { return false }, func() { t.Error("ended after its stop") })
		w.stop()
		time.Sleep(3 * time.Second)
	})
}
