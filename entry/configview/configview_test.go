package configview_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	"flamingospar.org/standin/platform"
)

// TestNothingInForceReverts runs schedules of kill, pause, partition, store
// outage, lost answer and slow call, together and repeatedly.
func TestNothingInForceReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 5).Draw(t, "entries"), 2)
		w.slow = rapid.Bool().Draw(t, "slow")
		for _, s := range w.entries {
			s.step()
		}
		w.change(0, w.entries[0])
		t.Repeat(map[string]func(*rapid.T){
			"":       func(t *rapid.T) { w.t = t; w.check() },
			"step":   func(t *rapid.T) { w.t = t; w.tick(rapid.IntRange(10, 2500).Draw(t, "ms")) },
			"steps":  func(t *rapid.T) { w.t = t; w.tick(1000); w.tick(2000) },
			"wait":   func(t *rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second) },
			"change": func(t *rapid.T) { w.t = t; w.change(0, w.pick()) },
			"race": func(t *rapid.T) {
				w.t = t
				w.change(config.Revision(len(w.accepted)-rapid.IntRange(0, 1).Draw(t, "behind")), w.pick())
			},
			"split": func(t *rapid.T) { w.t = t; w.split() },
			"heal":  func(*rapid.T) { w.heal() },
			"calm": func(t *rapid.T) {
				w.t = t
				w.heal()
				w.tick(500)
			},
			"outage":  func(*rapid.T) { w.outage = !w.outage },
			"lose":    func(*rapid.T) { w.lose = !w.lose },
			"slow":    func(*rapid.T) { w.slow = !w.slow },
			"lossy":   func(*rapid.T) { w.lossy = !w.lossy },
			"kill":    func(t *rapid.T) { w.t = t; w.pick().restart() },
			"pause":   func(t *rapid.T) { w.t = t; s := w.pick(); s.paused = !s.paused },
			"noStore": func(t *rapid.T) { w.t = t; s := w.pick(); s.noStore = !s.noStore },
			"cut": func(t *rapid.T) {
				w.t = t
				a, b := w.pick(), w.pick()
				a.cutFrom[b.index] = !a.cutFrom[b.index]
				b.cutFrom[a.index] = a.cutFrom[b.index]
			},
			"cutAgent": func(t *rapid.T) {
				w.t = t
				s, i := w.pick(), rapid.IntRange(0, 1).Draw(t, "agent")
				s.cutAgent[i] = !s.cutAgent[i]
			},
			"restartAgent": func(t *rapid.T) {
				w.agents[rapid.IntRange(0, 1).Draw(t, "agent")].watch = config.NewTracker()
				for _, s := range w.entries {
					clear(s.marks)
				}
			},
			"authenticate": func(t *rapid.T) { w.t = t; w.authenticate(w.pick()) },
			"deliver":      func(t *rapid.T) { w.t = t; w.deliver(rapid.IntRange(0, 1).Draw(t, "agent")) },
			"spread": func(t *rapid.T) {
				w.t = t
				for revision := range w.accepted {
					if revision == config.Revision(len(w.accepted)) {
						w.spread(w.pick(), revision)
						return
					}
				}
			},
		})
		w.t = t
		w.settle()
	})
}

// TestOutageAloneStopsNothing takes the store away for an hour.
func TestOutageAloneStopsNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 7).Draw(t, "entries"), 0)
		for _, s := range w.entries {
			s.view.Step(context.Background())
		}
		w.change(0, w.entries[0])
		for _, s := range w.entries {
			s.view.Step(context.Background())
		}
		w.outage = true
		for range 20 {
			w.now = w.now.Add(2 * time.Second)
			for _, s := range w.entries {
				s.view.Step(context.Background())
				if s.view.Current() == nil {
					t.Fatalf("entry %d of %d stopped in an outage", s.index, len(w.entries))
				}
			}
		}
	})
}

func TestOperatorsRaceRollBackAndWithdraw(t *testing.T) {
	ctx := context.Background()
	store := platform.New()
	options := configview.Options{Objects: store, SnapshotEvery: 700}
	one, two := configview.New(store.Tables, options), configview.New(store.Tables, options)
	first := &catalogue.Document{Teams: []catalogue.Team{{Name: "first", Weight: 1}}}
	second := &catalogue.Document{Teams: []catalogue.Team{{Name: "second", Weight: 1}}}
	revision, err := one.Write(ctx, 0, config.Change{Operator: "ann", Catalogue: first})
	require.NoError(t, err)
	_, err = one.Write(ctx, revision, config.Change{Operator: "ann", Catalogue: second})
	require.NoError(t, err)
	_, err = two.Write(ctx, revision, config.Change{Operator: "bob", Catalogue: first})
	require.ErrorIs(t, err, configview.ErrRaced)
	_, err = two.Write(ctx, 0, config.Change{Operator: "bob", WithdrawKey: "never"})
	require.ErrorIs(t, err, config.ErrKeyUnknown)
	rolled, err := two.Rollback(ctx, 2, 1, "bob")
	require.NoError(t, err)
	require.Equal(t, config.Revision(3), rolled)
	require.Equal(t, "first", two.Current().Catalogue.Teams[0].Name)
	history, err := two.History(ctx, 1, 10)
	require.NoError(t, err)
	require.Equal(t, "bob", history[2].Operator)
	require.Equal(t, config.Revision(1), history[2].RollbackTo)

	for i := range 1500 {
		id := config.KeyHash(time.Duration(i).String())
		_, err := one.Write(ctx, 0, config.Change{IssueKey: &config.Key{ID: string(id), Team: "first", Hash: id}})
		require.NoError(t, err)
	}
	started := configview.New(store.Tables, options)
	before, _ := store.Tables.Operations()
	require.NoError(t, started.CatchUp(ctx))
	after, _ := store.Tables.Operations()
	require.Len(t, started.Current().Keys(), 1500)
	require.Equal(t, config.Revision(1503), started.Current().Revision)
	require.LessOrEqual(t, after-before, int64(3), "head, snapshot and one scan")
}
