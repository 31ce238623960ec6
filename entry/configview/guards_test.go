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

// calmWorld returns a world whose entries hold one revision.
func calmWorld(t *rapid.T, entries int) *world {
	w := newWorld(t, entries, 0)
	for _, s := range w.entries {
		s.step()
	}
	w.change(0, w.entries[0])
	for _, s := range w.entries {
		s.step()
	}
	return w
}

func (w *world) cut(a, b int) {
	w.entries[a].cutFrom[b] = true
	w.entries[b].cutFrom[a] = true
}

// TestRestartedEntryAcknowledgesNothing lets an entry acknowledge a change and
// forget it in a restart, while the writer still collects acknowledgements.
func TestRestartedEntryAcknowledgesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calmWorld(t, 5)
		writer, forgetful := w.entries[0], w.entries[1]
		w.cut(0, 3)
		w.cut(0, 4)
		w.answered = func(from, to *slot) {
			if from != writer || to != forgetful {
				return
			}
			w.answered = nil
			w.outage = true
			w.cut(0, 1)
			forgetful.restart()
			forgetful.step()
			delete(writer.cutFrom, 1)
		}
		revision, err := writer.view.Write(context.Background(), 0, config.Change{Operator: "test", Catalogue: new(catalogue.Document)})
		require.NoError(t, err)
		w.accepted[revision] = time.Time{}
		w.spread(writer, revision)
		w.cut(0, 1)
		w.cut(0, 2)
		w.cut(2, 1)
		w.cut(2, 3)
		w.cut(2, 4)
		for range 5 {
			w.now = w.now.Add(2 * time.Second)
			for _, s := range w.entries {
				s.step()
			}
			w.check()
		}
	})
}

// TestSlowReadProvesItsBeginning delays the answer to a read of the head until
// a change that came after it is in force.
func TestSlowReadProvesItsBeginning(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calmWorld(t, 3)
		slow := w.entries[0]
		w.cut(0, 1)
		w.cut(0, 2)
		w.read = func(by *slot) {
			if by != slow {
				return
			}
			w.read = nil
			w.change(0, w.entries[1])
			w.now = w.now.Add(2 * config.EntryMaxStaleness)
			w.entries[1].step()
		}
		slow.step()
		w.check()
		require.Nil(t, slow.view.Current())
	})
}

// TestRestartOfMajorityRevivesNothing lets a change be in force at two of three
// entries and restarts both while the store is down.
func TestRestartOfMajorityRevivesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calmWorld(t, 3)
		w.cut(0, 2)
		w.cut(1, 2)
		w.change(0, w.entries[0])
		w.outage = true
		w.now = w.now.Add(config.EntryMaxStaleness)
		require.Len(t, w.accepted, 2)
		w.entries[0].restart()
		w.entries[1].restart()
		for _, s := range w.entries {
			clear(s.cutFrom)
		}
		for range 5 {
			w.now = w.now.Add(2 * time.Second)
			for _, s := range w.entries {
				s.step()
				require.Nil(t, s.view.Current())
			}
			w.check()
		}
	})
}
