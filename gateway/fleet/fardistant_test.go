package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
)

// Guards against: an odd entry with the ID of an endpoint, whose start lies thousands of years
// ahead or whose heartbeat number no endpoint reaches, was believed for about 5 s: an endpoint
// that said meanwhile that it drains (for 2 s, with a heartbeat each 1.2 s) got requests until
// it ended.
func TestOddEntryDoesNotHideThatAnEndpointDrains(t *testing.T) {
	const beat, drainTimeout = 1200 * time.Millisecond, 2 * time.Second
	for name, odd := range map[string]fleet.Row{
		"start": row("e", 1, 1<<50, "ready", 2), "largest start": row("e", 1, 1<<53, "ready", 2), "heartbeat": row("e", 1<<50, 2, "ready", 2),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(time.Now)
				f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 1, 2, "ready", 1)}, Version: 1, Snapshot: true})
				f.Apply(fleet.Changes{Rows: []fleet.Row{odd}, Version: 2})
				start := time.Now()
				for n := 2; time.Since(start) < drainTimeout; n++ {
					f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", n, 2, "draining", int64(n+1))}, Version: int64(n + 1)})
					time.Sleep(beat)
				}
				endpoint, listed := f.Get("e")
				require.False(t, listed && !endpoint.Draining, "still used as ready %s after it said that it drains", time.Since(start))
			})
		})
	}
}
