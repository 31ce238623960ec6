package standby_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/standby"
)

// A standby must not exceed what the request allows.
func TestStandbyBeginsOnlyWithinTheLimits(t *testing.T) {
	allowed := standby.Attempts{Repeatable: true, Continuable: true, Runs: 1, MaxRuns: 2, Sends: 1, MaxSends: 4, Remaining: time.Second, MinTime: time.Millisecond}
	require.True(t, allowed.MayBegin())
	changes := map[string]func(*standby.Attempts){
		"not repeatable":  func(a *standby.Attempts) { a.Repeatable = false },
		"not continuable": func(a *standby.Attempts) { a.Continuable = false },
		"runs used up":    func(a *standby.Attempts) { a.Runs = 2 },
		"sends used up":   func(a *standby.Attempts) { a.Sends = 4 },
		"no time left":    func(a *standby.Attempts) { a.Remaining = 0 },
	}
	for name, change := range changes {
		denied := allowed
		change(&denied)
		require.False(t, denied.MayBegin(), name)
	}
}

// Guards against pieces of two runs in one answer: whatever the order of what happens, at
// most one of both attempts goes on.
func TestOneOfBothAttemptsGoesOn(t *testing.T) {
	var first standby.Pair
	require.True(t, first.Begin())
	require.False(t, first.Begin())
	require.True(t, first.Progress(), "the standby is cancelled")
	require.False(t, first.Began(), "it came too late")
	require.False(t, first.Begin(), "the first standby has not ended")
	require.False(t, first.StandbyGoesOn())
	first.StandbyEnded()
	require.True(t, first.Begin())
	require.True(t, first.Began())
	require.False(t, first.Progress(), "the first attempt came too late")
	first.StandbyEnded()
	require.True(t, first.StandbyGoesOn())

	var failing standby.Pair
	require.False(t, failing.FirstFailed(), "there is no standby")
	failing.Begin()
	require.True(t, failing.FirstFailed())
	require.False(t, failing.Began(), "the first is not cancelled again")
	require.True(t, failing.StandbyGoesOn())
}
