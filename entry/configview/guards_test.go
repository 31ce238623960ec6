package configview_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
)

// newHealthySimulation returns a simulation without faults whose entries have
// the same revision.
func newHealthySimulation(t *rapid.T, entries int) *simulation {
	sim := newSimulation(t, entries, 0)
	for _, s := range sim.entries {
		s.step()
	}
	sim.change(0, sim.entries[0])
	for _, s := range sim.entries {
		s.step()
	}
	return sim
}

func (sim *simulation) disconnect(a, b int) {
	sim.entries[a].unreachableEntries[b] = true
	sim.entries[b].unreachableEntries[a] = true
}

// TestRestartedEntryDoesNotAcknowledge checks that an acknowledgement does not
// count when the entry loses the change in a restart while the writer still
// collects acknowledgements.
func TestRestartedEntryDoesNotAcknowledge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newHealthySimulation(t, 5)
		writer, restarted := sim.entries[0], sim.entries[1]
		sim.disconnect(0, 3)
		sim.disconnect(0, 4)
		sim.afterExchange = func(from, to *simEntry) {
			if from != writer || to != restarted {
				return
			}
			sim.afterExchange = nil
			sim.storeDown = true
			sim.disconnect(0, 1)
			restarted.restart()
			restarted.step()
			delete(writer.unreachableEntries, 1)
		}
		revision, err := writer.view.Write(context.Background(), 0, config.Change{Operator: "test", Catalogue: new(catalogue.Document)})
		require.NoError(t, err)
		sim.inForceAt[revision] = time.Time{}
		sim.propagate(writer, revision)
		sim.disconnect(0, 1)
		sim.disconnect(0, 2)
		sim.disconnect(2, 1)
		sim.disconnect(2, 3)
		sim.disconnect(2, 4)
		for range 5 {
			sim.now = sim.now.Add(2 * time.Second)
			for _, s := range sim.entries {
				s.step()
			}
			sim.checkRevisions()
		}
	})
}

// TestSlowReadCountsFromItsStart delays the response to a read of the head row
// until a later change is in force. The read must not count as evidence for the
// time of its response.
func TestSlowReadCountsFromItsStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newHealthySimulation(t, 3)
		slow := sim.entries[0]
		sim.disconnect(0, 1)
		sim.disconnect(0, 2)
		sim.afterRead = func(by *simEntry) {
			if by != slow {
				return
			}
			sim.afterRead = nil
			sim.change(0, sim.entries[1])
			sim.now = sim.now.Add(2 * config.EntryMaxStaleness)
			sim.entries[1].step()
		}
		slow.step()
		sim.checkRevisions()
		require.Nil(t, slow.view.Current())
	})
}

// TestRestartOfMajorityDoesNotRestoreOldRevision restarts two of three entries
// while the table service is down. Only these two had the latest change. After
// the restart no entry may serve, since the majority that agrees on the older
// revision has lost the change that is in force.
func TestRestartOfMajorityDoesNotRestoreOldRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newHealthySimulation(t, 3)
		sim.disconnect(0, 2)
		sim.disconnect(1, 2)
		sim.change(0, sim.entries[0])
		sim.storeDown = true
		sim.now = sim.now.Add(config.EntryMaxStaleness)
		require.Len(t, sim.inForceAt, 2)
		sim.entries[0].restart()
		sim.entries[1].restart()
		for _, s := range sim.entries {
			clear(s.unreachableEntries)
		}
		for range 5 {
			sim.now = sim.now.Add(2 * time.Second)
			for _, s := range sim.entries {
				s.step()
				require.Nil(t, s.view.Current())
			}
			sim.checkRevisions()
		}
	})
}
