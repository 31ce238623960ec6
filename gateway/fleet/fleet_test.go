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
	f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 7, 2, "draining", 1)}, Version: 1, Snapshot: true})
	f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 6, 2, "ready", 2)}, Version: 2})
	require.True(t, draining(t, f))
	f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 90, 1, "ready", 3)}, Version: 3})
	require.True(t, draining(t, f))
	f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 1, 3, "ready", 4)}, Version: 4})
	require.False(t, draining(t, f), "the endpoint has started again")
}

// Changes passed on over several processes stay complete and keep their true
// age.
func TestChangesKeepTheirAgeAcrossProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := fleet.New(time.Now), fleet.New(time.Now), fleet.New(time.Now)
		for _, f := range []*fleet.Fleet{first, second, third} {
			f.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 1, 1, "ready", 1), row("gone", 1, 1, "ready", 2)}, Version: 2, Snapshot: true})
		}
		first.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 2, 1, "draining", 3), {Key: "gone", Version: 5, Deleted: true}}, Version: 5})
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
	if changes := from.ChangesSince(to.Position()); changes.Version > 0 {
		to.Apply(changes)
	}
}

// A process that has just started knows the fleet only from a snapshot, which
// doesn't show which endpoints were removed before it. If it sent changes to a
// process with an older version, that process would miss the removal; a request
// was sent to an endpoint 2.1 s after it had left.
func TestProcessWithASnapshotSendsNoChangesToAnOlderOne(t *testing.T) {
	older, restarted := fleet.New(time.Now), fleet.New(time.Now)
	older.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 1, 1, "ready", 1), row("left", 1, 1, "ready", 2)}, Version: 2, Snapshot: true})
	restarted.Apply(fleet.Changes{Rows: []fleet.Row{row("e", 1, 1, "ready", 1)}, Version: 3, Snapshot: true})
	sendChanges(restarted, older)
	require.EqualValues(t, 2, older.Version(), "the older process must ask the store itself")
	older.Apply(fleet.Changes{Rows: []fleet.Row{{Key: "left", Version: 3, Deleted: true}}, Version: 3})
	sendChanges(restarted, older)
	_, listed := older.Get("left")
	require.False(t, listed)
}

func TestInvalidRowDoesNotAffectOtherRows(t *testing.T) {
	f := fleet.New(time.Now)
	f.Apply(fleet.Changes{Rows: []fleet.Row{{Key: "x", Value: []byte("nonsense"), Version: 1}, row("e", 1, 1, "ready", 2)}, Version: 2, Snapshot: true})
	require.False(t, draining(t, f))
	_, listed := f.Get("x")
	require.False(t, listed)
}
