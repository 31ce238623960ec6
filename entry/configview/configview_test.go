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

// TestRevisionInForceNeverReverts runs random schedules of process kills, pauses,
// network partitions, table service outages, lost responses and slow calls.
func TestRevisionInForceNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(1, 5).Draw(t, "entries"), 2)
		sim.delayCalls = rapid.Bool().Draw(t, "slow")
		for _, s := range sim.entries {
			s.step()
		}
		sim.change(0, sim.entries[0])
		t.Repeat(map[string]func(*rapid.T){
			"":      func(t *rapid.T) { sim.t = t; sim.checkRevisions() },
			"step":  func(t *rapid.T) { sim.t = t; sim.tick(rapid.IntRange(10, 2500).Draw(t, "ms")) },
			"steps": func(t *rapid.T) { sim.t = t; sim.tick(1000); sim.tick(2000) },
			"wait": func(t *rapid.T) {
				sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "s")) * time.Second)
			},
			"change": func(t *rapid.T) { sim.t = t; sim.change(0, sim.pick()) },
			"race": func(t *rapid.T) {
				sim.t = t
				sim.change(config.Revision(len(sim.inForceAt)-rapid.IntRange(0, 1).Draw(t, "behind")), sim.pick())
			},
			"split": func(t *rapid.T) { sim.t = t; sim.partition() },
			"heal":  func(*rapid.T) { sim.heal() },
			"calm": func(t *rapid.T) {
				sim.t = t
				sim.heal()
				sim.tick(500)
			},
			"outage":  func(*rapid.T) { sim.storeDown = !sim.storeDown },
			"lose":    func(*rapid.T) { sim.loseCommitReplies = !sim.loseCommitReplies },
			"slow":    func(*rapid.T) { sim.delayCalls = !sim.delayCalls },
			"lossy":   func(*rapid.T) { sim.losePeerReplies = !sim.losePeerReplies },
			"kill":    func(t *rapid.T) { sim.t = t; sim.pick().restart() },
			"pause":   func(t *rapid.T) { sim.t = t; s := sim.pick(); s.paused = !s.paused },
			"noStore": func(t *rapid.T) { sim.t = t; s := sim.pick(); s.storeUnreachable = !s.storeUnreachable },
			"cut": func(t *rapid.T) {
				sim.t = t
				a, b := sim.pick(), sim.pick()
				a.unreachableEntries[b.index] = !a.unreachableEntries[b.index]
				b.unreachableEntries[a.index] = a.unreachableEntries[b.index]
			},
			"cutAgent": func(t *rapid.T) {
				sim.t = t
				s, i := sim.pick(), rapid.IntRange(0, 1).Draw(t, "agent")
				s.unreachableAgents[i] = !s.unreachableAgents[i]
			},
			"restartAgent": func(t *rapid.T) {
				sim.agents[rapid.IntRange(0, 1).Draw(t, "agent")].tracker = config.NewTracker()
				for _, s := range sim.entries {
					clear(s.marks)
				}
			},
			"authenticate": func(t *rapid.T) { sim.t = t; sim.authenticateRun(sim.pick()) },
			"deliver":      func(t *rapid.T) { sim.t = t; sim.deliverRun(rapid.IntRange(0, 1).Draw(t, "agent")) },
			"spread": func(t *rapid.T) {
				sim.t = t
				for revision := range sim.inForceAt {
					if revision == config.Revision(len(sim.inForceAt)) {
						sim.propagate(sim.pick(), revision)
						return
					}
				}
			},
		})
		sim.t = t
		sim.requireConvergence()
	})
}

// TestEntriesServeThroughAStoreOutage checks that entries that reach each other
// keep serving while the table service is down for 40 s.
func TestEntriesServeThroughAStoreOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(1, 7).Draw(t, "entries"), 0)
		for _, s := range sim.entries {
			s.view.Step(context.Background())
		}
		sim.change(0, sim.entries[0])
		for _, s := range sim.entries {
			s.view.Step(context.Background())
		}
		sim.storeDown = true
		for range 20 {
			sim.now = sim.now.Add(2 * time.Second)
			for _, s := range sim.entries {
				s.view.Step(context.Background())
				if s.view.Current() == nil {
					t.Fatalf("entry %d of %d has no current configuration during a table service outage", s.index, len(sim.entries))
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
