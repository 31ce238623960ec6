package usagerun

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestResidueOfTwoDeaths kills an agent and the entries that heard of its runs
// at the same moment, again and again, with the store up. What is lost is at
// most one flush.
func TestResidueOfTwoDeaths(t *testing.T) {
	const (
		deaths       = 40
		runsASecond  = 4
		flushSeconds = 5
	)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(9, 2, 4, odds{})
		most := 0
		for range deaths {
			before := w.residue()
			for range 2 + w.random.IntN(4) {
				w.step(context.Background())
				for range w.random.IntN(flushSeconds) {
					w.serveSome(runsASecond)
					time.Sleep(time.Second)
				}
			}
			w.killAgent(0)
			w.killEntry(0)
			w.killEntry(1)
			w.noteResidue()
			most = max(most, w.residue()-before)
		}
		res := requireExact(t, w)
		t.Logf("%d runs, %d deaths of an agent and both entries: %d lost, %d at most at once", res.runs, deaths, res.residue, most)
		require.LessOrEqual(t, most, runsASecond*flushSeconds)
		require.NotZero(t, res.residue)
	})
}

func (w *world) residue() int {
	lost := 0
	for _, run := range w.runs {
		if run.residue {
			lost++
		}
	}
	return lost
}
