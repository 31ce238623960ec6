package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
)

// Guards against: an odd entry with the ID of an endpoint, whose heartbeat number or start
// is as high as rows may hold, kept all that the endpoint says of itself from being followed.
func TestHeartbeatsThatGoOnAreBelieved(t *testing.T) {
	for name, odd := range map[string]fleet.Row{"heartbeat": row("e", 1<<40, 2, "ready", 2), "start": row("e", 1, 7_258_118_400_000, "ready", 2)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(time.Now)
				f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 1, 2, "ready", 1)}, Version: 1, Snapshot: true})
				f.Apply(fleet.Changes{Rows: []fleet.Row{odd}, Version: 2})
				start := time.Now()
				for beat := 2; !draining(t, f); beat++ {
					require.Less(t, time.Since(start), 8*time.Second)
					time.Sleep(time.Second)
					version := int64(beat + 1)
					f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", beat, 2, "draining", version)}, Version: version})
				}
			})
		})
	}
}

// Heartbeats that the store carries out late are not believed, however many they are, while
// others of the endpoint come between them or all come at once.
func TestLateHeartbeatsAreNotBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(time.Now)
		f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 100, 2, "draining", 1)}, Version: 1, Snapshot: true})
		version := int64(1)
		apply := func(sequence int, state string) {
			version++
			f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", sequence, 2, state, version)}, Version: version})
			require.True(t, draining(t, f))
		}
		for late := range 20 {
			apply(late, "ready")
		}
		for beat := range 20 {
			time.Sleep(time.Second)
			apply(101+beat, "draining")
			apply(50+beat, "ready")
			apply(50+beat, "ready")
		}
	})
}
