package usagerun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTableOperations shows how table operations grow: with the entries, and
// not with the agents, the teams or the runs.
func TestTableOperations(t *testing.T) {
	const minutes = 5
	sizes := []struct{ entries, agents, teams, runsAStep int }{
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
			w := newWorld(1, size.entries, size.agents, odds{})
			w.teams = size.teams
			for range minutes * 12 {
				w.serveSome(size.runsAStep)
				time.Sleep(5 * time.Second)
				w.step(context.Background())
			}
			reads, writes := w.platform.Tables.Operations()
			seconds := float64(minutes * 60)
			t.Logf("entries %d agents %d teams %d runs/s %d: reads/s %.2f writes/s %.2f",
				size.entries, size.agents, size.teams, size.runsAStep/5, float64(reads)/seconds, float64(writes)/seconds)
			// A batch and a lease step an entry, and what the holder writes.
			bound := float64(size.entries)*0.45 + 1
			require.Less(t, float64(writes)/seconds, bound)
			requireExact(t, w)
		})
	}
}
