package clock_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/clock"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		require.True(t, clock.Sleep(ctx, 0))
		require.True(t, clock.Sleep(ctx, 2*time.Second))
		require.False(t, clock.Sleep(ctx, 2*time.Second))
		require.Equal(t, 3*time.Second, time.Since(start))
		require.False(t, clock.Sleep(ctx, -1), "the context has ended")
	})
}

func TestEveryCallsOncePerInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		var at []time.Duration
		began := time.Now()
		clock.Every(ctx, time.Second, func() {
			at = append(at, time.Since(began))
			time.Sleep(300 * time.Millisecond)
		})
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, at)
	})
}
