package usagerun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTableOperations checks that the rate of table writes is bounded by the
// number of entries, whatever the number of agents, teams and runs.
func TestTableOperations(t *testing.T) {
	const minutes = 5
	sizes := []struct{ entries, agents, teams, runsPerStep int }{
		{1, 4, 10, 10},
		{2, 4, 10, 10},
		{4, 4, 10, 10},
		{8, 4, 10, 10},
		{4, 16, 10, 10},
		{4, 4, 400, 10},
		{4, 4, 10, 60},
	}
	for _, size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(1, size.entries, size.agents, faultRates{})
			s.teams = size.teams
			for range minutes * 12 {
				s.serveSome(size.runsPerStep)
				time.Sleep(5 * time.Second)
				s.step(context.Background())
			}
			reads, writes := s.platform.Tables.Operations()
			seconds := float64(minutes * 60)
			t.Logf("entries %d agents %d teams %d runs/s %d: reads/s %.2f writes/s %.2f",
				size.entries, size.agents, size.teams, size.runsPerStep/5, float64(reads)/seconds, float64(writes)/seconds)
			// Each entry writes one batch and one lease row per step of 5 s; the holder
			// writes the sealed windows besides.
			bound := float64(size.entries)*0.45 + 1
			require.Less(t, float64(writes)/seconds, bound)
			requireExact(t, s)
		})
	}
}
