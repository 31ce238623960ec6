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

func newFleet() (*fleet.Fleet, *storeWatch) {
	f := fleet.New(time.Now)
	f.Apply([]fleet.Row{{Key: "e1", Value: sitetest.EndpointRow(1, 1, false), Version: 1}}, 1, true, 0)
	return f, newStoreWatch(f)
}

func gone(f *fleet.Fleet) {
	f.Apply([]fleet.Row{{Key: "e1", Version: 2, Removed: true}}, 2, false, 0)
}

// Rows lapse while the store is away; an endpoint that lives lists itself again
// within the allowance, and one that does not is gone then.
func TestEndpointsOutliveAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, watch := newFleet()
		watch.Lost()
		time.Sleep(8 * time.Second)
		watch.Regained()
		gone(f)
		require.True(t, listed(t, f), "the row lapsed in the outage")
		time.Sleep(fleet.ReturnAllowance + time.Millisecond)
		f.Settle()
		require.False(t, listed(t, f))
	})
}

// The store turned this process away and served the others: a row that is gone
// was taken back by its endpoint, which must get no more work (hunt-1313-19 of
// shedline-wa: a request reached an endpoint 3.4 s after it had left).
func TestEndpointThatLeftWhileOnlyThisProcessWasTurnedAwayIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, watch := newFleet()
		watch.Lost()
		watch.AnswersOthers()
		time.Sleep(time.Second)
		watch.Regained()
		gone(f)
		require.False(t, listed(t, f))
	})
}

func TestEndpointThatLeavesWhileTheStoreAnswersIsGoneAtOnce(t *testing.T) {
	f, _ := newFleet()
	gone(f)
	require.False(t, listed(t, f))
}

func TestTheStoreIsSteadySinceItsLastReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, watch := newFleet()
		time.Sleep(5 * time.Second)
		require.Equal(t, 5*time.Second, watch.Steady())
		watch.Lost()
		require.Zero(t, watch.Steady())
		time.Sleep(time.Second)
		watch.Regained()
		time.Sleep(2 * time.Second)
		require.Equal(t, 2*time.Second, watch.Steady())
	})
}
