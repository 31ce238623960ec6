package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
	"flamingospar.org/platform/site/sitetest"
)

func row(id string, sequence, started int, state string, version int64) fleet.Row {
	return fleet.Row{Key: id, Version: version, Value: sitetest.EndpointRow(sequence, started, state == "draining")}
}

func draining(t *testing.T, f *fleet.Fleet) bool {
	t.Helper()
	endpoint, ok := f.Get("e")
	require.True(t, ok)
	return endpoint.Draining
}

// A delayed heartbeat from before the endpoint started to drain, or from before
// its last restart, must not replace newer state.
func TestOutdatedHeartbeatsAreIgnored(t *testing.T) {
	f := fleet.New(time.Now)
	f.Apply([]fleet.Row{row("e", 7, 2, "draining", 1)}, 1, true, 0)
	f.Apply([]fleet.Row{row("e", 6, 2, "ready", 2)}, 2, false, 0)
	require.True(t, draining(t, f))
	f.Apply([]fleet.Row{row("e", 90, 1, "ready", 3)}, 3, false, 0)
	require.True(t, draining(t, f))
	f.Apply([]fleet.Row{row("e", 1, 3, "ready", 4)}, 4, false, 0)
	require.False(t, draining(t, f), "the endpoint has started again")
}

// Changes passed on over several processes stay complete and keep their true
// age.
func TestChangesKeepTheirAgeAcrossProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := fleet.New(time.Now), fleet.New(time.Now), fleet.New(time.Now)
		for _, f := range []*fleet.Fleet{first, second, third} {
			f.Apply([]fleet.Row{row("e", 1, 1, "ready", 1), row("gone", 1, 1, "ready", 2)}, 2, true, 0)
		}
		first.Apply([]fleet.Row{row("e", 2, 1, "draining", 3), {Key: "gone", Version: 5, Deleted: true}}, 5, false, 0)
		time.Sleep(300 * time.Millisecond)
		sendChanges(first, second)
		time.Sleep(200 * time.Millisecond)
		sendChanges(second, third)
		require.True(t, draining(t, third))
		_, listed := third.Get("gone")
		require.False(t, listed)
		require.EqualValues(t, 5, third.Version())
		require.Equal(t, 500*time.Millisecond, third.Age())
	})
}

func sendChanges(from, to *fleet.Fleet) {
	changes := from.ChangesSince(to.Version())
	if changes.Version >= to.Version() {
		to.Apply(changes.Rows, changes.Version, false, changes.Age)
	}
}

// A process that has just started knows the fleet only from a snapshot, which
// doesn't show which endpoints were removed before it. If it sent changes to a
// process with an older version, that process would miss the removal; a request
// was sent to an endpoint 2.1 s after it had left.
func TestProcessWithASnapshotSendsNoChangesToAnOlderOne(t *testing.T) {
	older, restarted := fleet.New(time.Now), fleet.New(time.Now)
	older.Apply([]fleet.Row{row("e", 1, 1, "ready", 1), row("left", 1, 1, "ready", 2)}, 2, true, 0)
	restarted.Apply([]fleet.Row{row("e", 1, 1, "ready", 1)}, 3, true, 0)
	sendChanges(restarted, older)
	require.EqualValues(t, 2, older.Version(), "the older process must ask the store itself")
	older.Apply([]fleet.Row{{Key: "left", Version: 3, Deleted: true}}, 3, false, 0)
	sendChanges(restarted, older)
	_, listed := older.Get("left")
	require.False(t, listed)
}

func TestInvalidRowDoesNotAffectOtherRows(t *testing.T) {
	f := fleet.New(time.Now)
	f.Apply([]fleet.Row{{Key: "x", Value: []byte("nonsense"), Version: 1}, row("e", 1, 1, "ready", 2)}, 2, true, 0)
	require.False(t, draining(t, f))
	_, listed := f.Get("x")
	require.False(t, listed)
}
