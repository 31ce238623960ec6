package usagerun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLossWhenAgentAndEntriesCrash repeatedly kills an agent and all entries at
// the same moment while the store is available. At most the runs of one flush
// interval may be lost.
func TestLossWhenAgentAndEntriesCrash(t *testing.T) {
	const (
		crashes       = 40
		runsPerSecond = 4
		flushSeconds  = 5
	)
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(9, 2, 4, faultRates{})
		maxLost := 0
		for range crashes {
			before := s.lostRuns()
			for range 2 + s.random.IntN(4) {
				s.step(context.Background())
				for range s.random.IntN(flushSeconds) {
					s.serveSome(runsPerSecond)
					time.Sleep(time.Second)
				}
			}
			s.killAgent(0)
			s.killEntry(0)
			s.killEntry(1)
			s.markLostRuns()
			maxLost = max(maxLost, s.lostRuns()-before)
		}
		res := requireExact(t, s)
		t.Logf("%d runs, %d crashes of an agent and both entries: %d runs lost, at most %d in one crash", res.runs, crashes, res.lost, maxLost)
		require.LessOrEqual(t, maxLost, runsPerSecond*flushSeconds)
		require.NotZero(t, res.lost)
	})
}

func (s *simulation) lostRuns() int {
	lost := 0
	for _, run := range s.runs {
		if run.lost {
			lost++
		}
	}
	return lost
}
