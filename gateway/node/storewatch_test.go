package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/fleet"
	"flamingospar.org/platform/site/sitetest"
)

func listed(t *testing.T, f *fleet.Fleet) bool {
	t.Helper()
	_, ok := f.Get("e1")
	return ok
}

func newWatchedFleet() (*fleet.Fleet, *storeWatch) {
	f := fleet.New(time.Now)
	f.Apply(fleet.Changes{Rows: []fleet.Row{{Key: "e1", Value: sitetest.EndpointRow(1, 1, false), Version: 1}}, Version: 1, Snapshot: true})
	return f, newStoreWatch(f)
}

func removeRow(f *fleet.Fleet) {
	f.Apply(fleet.Changes{Rows: []fleet.Row{{Key: "e1", Version: 2, Deleted: true}}, Version: 2})
}

// Rows expire while the store is unavailable. An endpoint that is still running
// registers again within the timeout; any other is removed after it.
func TestEndpointsAreKeptDuringAStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, watch := newWatchedFleet()
		watch.MarkLost()
		time.Sleep(8 * time.Second)
		watch.MarkRecovered()
		removeRow(f)
		require.True(t, listed(t, f), "the row expired during the outage")
		time.Sleep(fleet.ReregistrationTimeout + time.Millisecond)
		f.Flush()
		require.False(t, listed(t, f))
	})
}

// The store rejected only this process and served the others, so a missing row
// was deleted by its endpoint, which must get no more requests. Keeping it as
// after a full outage sent a request to an endpoint 3.4 s after it had left.
func TestRemovalIsImmediateWhenOnlyThisProcessLostTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, watch := newWatchedFleet()
		watch.MarkLost()
		watch.MarkAvailableToPeers()
		time.Sleep(time.Second)
		watch.MarkRecovered()
		removeRow(f)
		require.False(t, listed(t, f))
	})
}

func TestRemovalIsImmediateWhileTheStoreAnswers(t *testing.T) {
	f, _ := newWatchedFleet()
	removeRow(f)
	require.False(t, listed(t, f))
}

func TestStoreAvailabilityCountsFromItsLastRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, watch := newWatchedFleet()
		time.Sleep(5 * time.Second)
		require.Equal(t, 5*time.Second, watch.AvailableFor())
		watch.MarkLost()
		require.Zero(t, watch.AvailableFor())
		time.Sleep(time.Second)
		watch.MarkRecovered()
		time.Sleep(2 * time.Second)
		require.Equal(t, 2*time.Second, watch.AvailableFor())
	})
}
