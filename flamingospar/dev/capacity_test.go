package dev

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/standin/memnet"
)

// TestDemandScalesEndpoints offers three times the capacity of a model's engines,
// then nothing for less time than scaling down requires. Endpoints must be
// ordered for the demand and not be released early.
func TestDemandScalesEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, _ := startTestSystemWith(t, memnet.New(testLatency), Options{Fleet: "shedline", Entries: 2})
		const offeredSeconds = 90.0 // Endpoint-seconds of work per 10 s at each entry.
		for range 6 {
			for _, e := range system.Entries {
				e.Entry.CapacityPlanner.Offered("assessment", offeredSeconds)
			}
			time.Sleep(10 * time.Second)
		}
		grown := totalTarget(t, system, "assessment")
		busyEndpoints := offeredSeconds / 10 * float64(len(system.Entries))
		require.GreaterOrEqual(t, float64(grown), busyEndpoints, "fewer endpoints ordered than the %g needed", busyEndpoints)

		time.Sleep(2 * time.Minute)
		require.Equal(t, grown, totalTarget(t, system, "assessment"), "scaled down too early")
	})
}

// totalTarget returns the sum of the data centres' last ordered targets. It also
// checks that each data centre's orders are in order of epochs and come from one
// holder per epoch.
func totalTarget(t *testing.T, system *System, kind string) int {
	t.Helper()
	last := make(map[string]int)
	epochs := make(map[string]int64)
	holders := make(map[string]string)
	for _, order := range system.Standins.Platform.Orders() {
		if order.Epoch == epochs[order.DataCentre] {
			require.Equal(t, holders[order.DataCentre], order.Holder)
		}
		require.GreaterOrEqual(t, order.Epoch, epochs[order.DataCentre])
		epochs[order.DataCentre] = order.Epoch
		holders[order.DataCentre] = order.Holder
		if order.Kind == kind {
			last[order.DataCentre] = order.Target
		}
	}
	total := 0
	for _, target := range last {
		total += target
	}
	return total
}
