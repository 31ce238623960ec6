package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
)

func snapshot(era, version int64, rows ...fleet.Row) fleet.Changes {
	return fleet.Changes{Rows: rows, Era: era, Version: version, Snapshot: true}
}

func change(era, version int64, rows ...fleet.Row) fleet.Changes {
	return fleet.Changes{Rows: rows, Era: era, Version: version}
}

// Versions of a store that came back from an older copy are lower than before, and were
// ignored until they had caught up.
func TestRowsOfALaterEraReplaceThoseBefore(t *testing.T) {
	f := fleet.New(time.Now)
	f.Apply(snapshot(1, 90, row("e", 1, 1, "ready", 80)))
	f.Apply(snapshot(2, 10, row("e", 1, 1, "ready", 8)))
	f.Apply(change(2, 11, row("e", 2, 1, "draining", 11)))
	require.True(t, draining(t, f))
	require.Equal(t, fleet.Position{Era: 2, Version: 11}, f.Position())

	// Answers from before arrive late, also from other processes.
	f.Apply(change(1, 95, row("e", 9, 1, "ready", 95)))
	f.Apply(snapshot(1, 95, row("e", 9, 1, "ready", 95)))
	require.True(t, draining(t, f))
	// Changes say nothing without the rows that they change.
	f.Apply(change(4, 3, row("e", 9, 1, "ready", 3)))
	require.Equal(t, int64(2), f.Position().Era)
	// The store went back twice in the meantime.
	f.Apply(snapshot(4, 3, row("e", 3, 1, "draining", 3)))
	require.Equal(t, fleet.Position{Era: 4, Version: 3}, f.Position())
}

// A copy lacks endpoints that registered after it was made, and lists some that have left.
func TestEndpointsAroundAnOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(time.Now)
		f.Apply(snapshot(1, 90, row("e", 5, 1, "ready", 80), row("back", 5, 1, "ready", 81), row("left", 5, 1, "ready", 82), row("never", 5, 1, "ready", 83)))
		f.Apply(change(1, 94, fleet.Row{Key: "left", Version: 93, Deleted: true}))
		listed := func(id string) bool {
			_, ok := f.Get(id)
			return ok
		}
		require.False(t, listed("left"))
		f.Apply(snapshot(2, 10, row("e", 3, 1, "ready", 8), row("left", 5, 1, "ready", 9)))
		require.True(t, listed("back"), "endpoints that the copy lacks have time to register")
		require.False(t, listed("left"), "an endpoint that had left is not used again")
		time.Sleep(time.Second)
		f.Apply(change(2, 12, row("back", 6, 1, "ready", 12)))
		time.Sleep(fleet.ReregistrationTimeout)
		f.Flush()
		require.True(t, listed("back"))
		require.False(t, listed("never"))
		require.False(t, listed("left"))

		// It is used once it has started again, or stays listed although its row would have
		// expired by now.
		f.Apply(change(2, 13, row("never", 1, 2, "ready", 13)))
		require.True(t, listed("never"))
		time.Sleep(10 * time.Second)
		f.Flush()
		require.True(t, listed("left"))
	})
}

// The row of an endpoint that had left expires in the store that came back.
func TestExpiredRowOfAnOlderCopyIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(time.Now)
		f.Apply(snapshot(1, 90, row("left", 5, 1, "ready", 82)))
		f.Apply(change(1, 93, fleet.Row{Key: "left", Version: 93, Deleted: true}))
		f.Apply(snapshot(2, 10, row("left", 4, 1, "ready", 9)))
		time.Sleep(3 * time.Second)
		f.Apply(change(2, 11, fleet.Row{Key: "left", Version: 11, Deleted: true}))
		time.Sleep(time.Minute)
		f.Flush()
		_, listed := f.Get("left")
		require.False(t, listed)
	})
}

// Processes that have read the store at different times pass on what belongs to the era of
// the receiver, or the whole of a later one.
func TestChangesBetweenProcessesOfDifferentEras(t *testing.T) {
	later, earlier := fleet.New(time.Now), fleet.New(time.Now)
	earlier.Apply(snapshot(1, 90, row("e", 1, 1, "ready", 80)))
	later.Apply(snapshot(1, 90, row("e", 1, 1, "ready", 80)))
	later.Apply(snapshot(2, 10, row("e", 2, 1, "draining", 8)))
	sendChanges(earlier, later)
	require.True(t, draining(t, later))
	sendChanges(later, earlier)
	require.True(t, draining(t, earlier))
	require.Equal(t, later.Position(), earlier.Position())
}
