package supervise_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/supervise"
)

// A duty that panics is run again, and the panic is told by its name.
func TestDutyThatPanicsIsRunAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []string
		s := supervise.Supervisor{Panicked: func(name string) { told = append(told, name) }}
		runs := 0
		s.Run(t.Context(), "duty", func(context.Context) {
			runs++
			if runs < 3 {
				panic("twice")
			}
		})
		require.Equal(t, 3, runs)
		require.Equal(t, []string{"duty", "duty"}, told)
	})
}

// The end of the process is not delayed by a duty that panics again and again.
func TestPanicsEndWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
		defer cancel()
		runs := 0
		supervise.Supervisor{}.Run(ctx, "duty", func(context.Context) {
			runs++
			panic("each time")
		})
		require.Equal(t, 10, runs)
	})
}

func TestCallTellsAPanicAsAnError(t *testing.T) {
	require.NoError(t, supervise.Supervisor{}.Call("part", func() {}))
	require.ErrorIs(t, supervise.Supervisor{}.Call("part", func() { panic("cause") }), supervise.ErrPanicked)
}
