package supervise_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/supervise"
)

// A task that panics is restarted, and each panic is reported under the task's name.
func TestTaskIsRestartedAfterAPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []string
		s := supervise.Supervisor{OnPanic: func(name string) { reported = append(reported, name) }}
		runs := 0
		s.Run(t.Context(), "task", func(context.Context) {
			runs++
			if runs < 3 {
				panic("twice")
			}
		})
		require.Equal(t, 3, runs)
		require.Equal(t, []string{"task", "task"}, reported)
	})
}

// A task that panics each time it is restarted must not keep the process from stopping.
func TestRestartsEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		runs := 0
		supervise.Supervisor{}.Run(ctx, "task", func(context.Context) {
			runs++
			panic("each time")
		})
		require.Equal(t, 10, runs)
	})
}

func TestCallReturnsAPanicAsAnError(t *testing.T) {
	require.NoError(t, supervise.Supervisor{}.Call("part", func() {}))
	require.ErrorIs(t, supervise.Supervisor{}.Call("part", func() { panic("cause") }), supervise.ErrPanicked)
}
