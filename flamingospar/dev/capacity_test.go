package dev

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/standin/memnet"
)

// TestDemandOrdersEndpoints offers three times what the engines of a model
// serve; then nothing, for less time than a shrink wants.
func TestDemandOrdersEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		system, _ := startTestSystemWith(t, memnet.New(testLatency), Options{Fleet: "shedline", Entries: 2})
		const offered = 90.0 // Seconds of an endpoint in 10 s, at each entry.
		for range 6 {
			for _, e := range system.Entries {
				e.Entry.CapacityPlanner.Offered("assessment", offered)
			}
			time.Sleep(10 * time.Second)
		}
		grown := lastTargets(t, system, "assessment")
		busy := offered / 10 * float64(len(system.Entries))
		require.GreaterOrEqual(t, float64(grown), busy, "endpoints ordered for %g kept busy", busy)

		time.Sleep(2 * time.Minute)
		require.Equal(t, grown, lastTargets(t, system, "assessment"), "shrunk at once")
	})
}

// lastTargets adds up the last orders of the data centres and checks that each
// data centre's orders came from one holder in each epoch, in order of epochs.
func lastTargets(t *testing.T, system *System, kind string) int {
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
