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

// A heartbeat that was on its way when the endpoint began to leave, or one of
// the endpoint's life before a restart, changes nothing.
func TestOlderHeartbeatsChangeNothing(t *testing.T) {
	f := fleet.New(time.Now)
	f.Apply([]fleet.Row{row("e", 7, 2, "draining", 1)}, 1, true, 0)
	f.Apply([]fleet.Row{row("e", 6, 2, "ready", 2)}, 2, false, 0)
	require.True(t, draining(t, f))
	f.Apply([]fleet.Row{row("e", 90, 1, "ready", 3)}, 3, false, 0)
	require.True(t, draining(t, f))
	f.Apply([]fleet.Row{row("e", 1, 3, "ready", 4)}, 4, false, 0)
	require.False(t, draining(t, f), "the endpoint has started again")
}

// What one process tells another is complete and as old as it says, also over
// several processes.
func TestNewsTravelsWithItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, third := fleet.New(time.Now), fleet.New(time.Now), fleet.New(time.Now)
		for _, f := range []*fleet.Fleet{first, second, third} {
			f.Apply([]fleet.Row{row("e", 1, 1, "ready", 1), row("gone", 1, 1, "ready", 2)}, 2, true, 0)
		}
		first.Apply([]fleet.Row{row("e", 2, 1, "draining", 3), {Key: "gone", Version: 5, Removed: true}}, 5, false, 0)
		time.Sleep(300 * time.Millisecond)
		tell(first, second)
		time.Sleep(200 * time.Millisecond)
		tell(second, third)
		require.True(t, draining(t, third))
		_, listed := third.Get("gone")
		require.False(t, listed)
		require.EqualValues(t, 5, third.Version())
		require.Equal(t, 500*time.Millisecond, third.Age())
	})
}

func tell(from, to *fleet.Fleet) {
	news := from.Since(to.Version())
	if news.Version >= to.Version() {
		to.Apply(news.Rows, news.Version, false, news.Age)
	}
}

// A process that has just started has read the fleet whole: it does not know
// which endpoints left before, and must not seem to (trouble-1 of shedline-wa,
// seed 348035438880: work for an endpoint 2.1 s after it had left).
func TestProcessThatReadTheFleetWholeTellsNoOlderOne(t *testing.T) {
	older, started := fleet.New(time.Now), fleet.New(time.Now)
	older.Apply([]fleet.Row{row("e", 1, 1, "ready", 1), row("left", 1, 1, "ready", 2)}, 2, true, 0)
	started.Apply([]fleet.Row{row("e", 1, 1, "ready", 1)}, 3, true, 0)
	tell(started, older)
	require.EqualValues(t, 2, older.Version(), "the older one asks the store itself")
	older.Apply([]fleet.Row{{Key: "left", Version: 3, Removed: true}}, 3, false, 0)
	tell(started, older)
	_, listed := older.Get("left")
	require.False(t, listed)
}

func TestForeignRowTakesNothingElseDown(t *testing.T) {
	f := fleet.New(time.Now)
	f.Apply([]fleet.Row{{Key: "x", Value: []byte("nonsense"), Version: 1}, row("e", 1, 1, "ready", 2)}, 2, true, 0)
	require.False(t, draining(t, f))
	_, listed := f.Get("x")
	require.False(t, listed)
}
