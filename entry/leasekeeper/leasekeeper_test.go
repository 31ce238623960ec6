package leasekeeper

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging/logtest"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/propertytest"
	"flamingospar.org/platform/tables"
	"flamingospar.org/standin/platform"
)

// TestMain sets the default seed and number of schedules. The flags -rapid.seed
// and -rapid.checks override them.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 2000, Steps: 80})
	invariant.SetPanicOnViolation(true)
	logtest.Silence()
	os.Exit(m.Run())
}

var effectKey = tables.Key{Table: "effects", Row: "effect"}

// simulation runs processes that compete for one lease against a store with
// injected faults. Only the schedule advances the clock.
type simulation struct {
	t       *rapid.T
	now     time.Time
	store   *platform.Tables
	keepers []*Keeper
	paused  []bool
	starts  int
	depth   int

	outage, loseResponses, delayWrites, delayCalls bool
	inTransit                                      []tables.Txn // Sent but not yet received by the store.
	preparedFences                                 []Fence
	era                                            int64            // Rises when the store comes back from a copy.
	copied                                         *platform.Tables // What it comes back from.
	holders                                        map[lease.Epoch]string
	lastEffect                                     lease.Row // Lease row of the last guarded effect.
}

func (s *simulation) start(i int) {
	s.starts++
	s.paused[i] = false
	client := &simulatedClient{simulation: s, era: unknownEra}
	keeper := NewWithClock(client, "duty", fmt.Sprintf("process-%d", s.starts), func() time.Time { return s.now })
	keeper.SetFirstEpochFunc(func() lease.Epoch { return lease.FirstEpoch(max(client.era, 0)) })
	client.onEra = keeper.StoreRestored
	s.keepers[i] = keeper
}

// unknownEra is the era of a process that has had no answer yet.
const unknownEra = -1

// simulatedClient is the store as one process sees it. A call that was sent to the store
// before it came back from an older copy fails, as does the first one after that.
type simulatedClient struct {
	*simulation
	era   int64
	onEra func()
}

// observeEra reports whether an answer may be used.
func (c *simulatedClient) observeEra(sentIn int64) bool {
	known := c.era
	if c.simulation.era > known {
		c.era = c.simulation.era
		if known != unknownEra {
			c.onEra()
		}
	}
	return known == unknownEra || sentIn == c.era && known == c.era
}

func (c *simulatedClient) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	sentIn := c.simulation.era
	row, err := c.simulation.Get(ctx, key)
	if !c.outage && !c.observeEra(sentIn) {
		return tables.Row{}, tables.ErrUnavailable
	}
	return row, err
}

func (c *simulatedClient) Commit(ctx context.Context, txn tables.Txn) error {
	sentIn := c.simulation.era
	err := c.simulation.Commit(ctx, txn)
	if !c.outage && !c.observeEra(sentIn) {
		return tables.ErrUnavailable
	}
	return err
}

// restore brings the store back from the copy. Calls that were under way are lost.
func (s *simulation) restore() {
	s.store.Restore(s.copied)
	s.era++
	s.inTransit, s.preparedFences = nil, nil
}

// delayCall advances the clock during a call, while other processes run.
func (s *simulation) delayCall() {
	if !s.delayCalls || s.depth > 0 || rapid.IntRange(1, 4).Draw(s.t, "delayed") > 2 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	for range rapid.IntRange(1, 6).Draw(s.t, "intervals") {
		s.advance(rapid.IntRange(100, 4000).Draw(s.t, "ms"))
		s.step()
	}
}

func (s *simulation) advance(millis int) { s.now = s.now.Add(time.Duration(millis) * time.Millisecond) }

// step runs a step of one process, unless it is paused or in the middle of a
// call.
func (s *simulation) step() {
	i := rapid.IntRange(0, len(s.keepers)-1).Draw(s.t, "process")
	if s.paused[i] {
		return
	}
	s.paused[i] = true
	keeper := s.keepers[i]
	keeper.Step(context.Background())
	if s.keepers[i] == keeper {
		s.paused[i] = false
	}
}

func (s *simulation) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	s.delayCall()
	defer s.delayCall()
	if s.outage {
		return tables.Row{}, tables.ErrUnavailable
	}
	return s.store.Get(ctx, key)
}

func (s *simulation) Scan(context.Context, string, string, string, int) ([]tables.Row, error) {
	return nil, tables.ErrUnavailable
}

func (s *simulation) Commit(ctx context.Context, txn tables.Txn) error {
	s.delayCall()
	defer s.delayCall()
	switch {
	case s.outage:
		return tables.ErrUnavailable
	case s.delayWrites && rapid.Bool().Draw(s.t, "late"):
		s.inTransit = append(s.inTransit, txn)
		return tables.ErrUnavailable
	}
	err := s.store.Commit(ctx, txn)
	if s.loseResponses && rapid.Bool().Draw(s.t, "lost") {
		return tables.ErrUnavailable
	}
	return err
}

// prepareEffect prepares a guarded effect, which may be sent at any later time.
func (s *simulation) prepareEffect() {
	i := rapid.IntRange(0, len(s.keepers)-1).Draw(s.t, "process")
	if fence, held := s.keepers[i].Fence(); held {
		s.preparedFences = append(s.preparedFences, fence)
	}
}

// sendEffect sends a prepared effect, which must not take effect after an effect of
// a later term.
func (s *simulation) sendEffect() {
	if len(s.preparedFences) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.preparedFences)-1).Draw(s.t, "effect")
	fence := s.preparedFences[i]
	txn := tables.Txn{
		Conditions: []tables.Condition{fence.Guard},
		Writes:     []tables.Write{{Key: effectKey, Value: []byte("{}")}},
	}
	if s.store.Commit(context.Background(), txn) != nil {
		return
	}
	row := fence.Term.Row
	if row.Epoch < s.lastEffect.Epoch || row.Epoch == s.lastEffect.Epoch && row.Holder != s.lastEffect.Holder {
		s.t.Fatalf("epoch %d of %s took effect after epoch %d of %s", row.Epoch, row.Holder, s.lastEffect.Epoch, s.lastEffect.Holder)
	}
	s.lastEffect = row
}

func (s *simulation) checkSingleHolder() {
	holders := 0
	for _, keeper := range s.keepers {
		term, held := keeper.Held()
		if !held {
			continue
		}
		holders++
		if holder, ok := s.holders[term.Row.Epoch]; ok && holder != term.Row.Holder {
			s.t.Fatalf("%s and %s held the lease under epoch %d", holder, term.Row.Holder, term.Row.Epoch)
		}
		s.holders[term.Row.Epoch] = term.Row.Holder
	}
	if holders > 1 {
		s.t.Fatalf("%d processes hold the lease at the same time", holders)
	}
}

// requireConvergence ends all faults and asserts that a process holds the lease
// within the maximum takeover time.
func (s *simulation) requireConvergence() {
	s.outage, s.loseResponses, s.delayWrites, s.delayCalls = false, false, false, false
	faultsEnded := s.now
	for s.now.Sub(faultsEnded) <= defaultTerm+lease.SafetyMargin+2*defaultTerm/renewalsPerTerm {
		s.advance(1000)
		for _, keeper := range s.keepers {
			keeper.Step(context.Background())
			if _, held := keeper.Held(); held {
				return
			}
		}
	}
	s.t.Fatalf("no process holds the lease %s after the last fault", s.now.Sub(faultsEnded))
}

// TestOneHolder checks that at most one process holds the lease while processes
// are killed and paused, the store is out, responses are lost, writes arrive late and
// the store comes back from older copies; and that no epoch is given out twice.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 4).Draw(t, "processes")
		s := &simulation{t: t, now: time.Unix(1_000_000, 0), store: platform.NewTables(), keepers: make([]*Keeper, count), paused: make([]bool, count), holders: make(map[lease.Epoch]string)}
		s.copied = s.store.Copy()
		s.delayCalls = rapid.Bool().Draw(t, "slow")
		for i := range s.keepers {
			s.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { s.t = t; s.checkSingleHolder() },
			"step": func(t *rapid.T) {
				s.t = t
				s.advance(rapid.IntRange(1, 3000).Draw(t, "ms"))
				s.step()
			},
			"wait":   func(t *rapid.T) { s.advance(rapid.IntRange(1000, 8000).Draw(t, "ms")) },
			"intend": func(t *rapid.T) { s.t = t; s.prepareEffect() },
			"act":    func(t *rapid.T) { s.t = t; s.sendEffect() },
			"outage": func(*rapid.T) { s.outage = !s.outage },
			"lose":   func(*rapid.T) { s.loseResponses = !s.loseResponses },
			"late":   func(*rapid.T) { s.delayWrites = !s.delayWrites },
			"slow":   func(*rapid.T) { s.delayCalls = !s.delayCalls },
			"land": func(t *rapid.T) {
				if len(s.inTransit) == 0 {
					return
				}
				i := rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "write")
				_ = s.store.Commit(context.Background(), s.inTransit[i])
				s.inTransit = append(s.inTransit[:i], s.inTransit[i+1:]...)
			},
			"heal": func(*rapid.T) { s.outage, s.loseResponses, s.delayWrites = false, false, false },
			"steps": func(t *rapid.T) {
				s.t = t
				for range 4 {
					s.advance(1500)
					s.step()
				}
			},
			"copy":    func(*rapid.T) { s.copied = s.store.Copy() },
			"restore": func(*rapid.T) { s.restore() },
			"kill":    func(t *rapid.T) { s.start(rapid.IntRange(0, count-1).Draw(t, "process")) },
			"pause":   func(t *rapid.T) { i := rapid.IntRange(0, count-1).Draw(t, "process"); s.paused[i] = !s.paused[i] },
			"release": func(t *rapid.T) {
				s.t = t
				i := rapid.IntRange(0, count-1).Draw(t, "process")
				s.keepers[i].Release(context.Background())
			},
		})
		s.t = t
		s.requireConvergence()
	})
}

// delayedResponses delays the response to each commit.
type delayedResponses struct {
	*platform.Tables
	afterCommit func()
}

func (s delayedResponses) Commit(ctx context.Context, txn tables.Txn) error {
	err := s.Tables.Commit(ctx, txn)
	s.afterCommit()
	return err
}

// A term that counted from a late response could overlap with the term of a
// successor.
func TestTermStartsBeforeTheWrite(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := delayedResponses{Tables: platform.NewTables(), afterCommit: func() { now = now.Add(3 * time.Second) }}
	keeper := NewWithClock(store, "duty", "process", func() time.Time { return now })
	start := now
	keeper.Step(context.Background())
	if _, held := keeper.Held(); !held {
		t.Fatal("the lease is not held after a late response")
	}
	now = start.Add(defaultTerm - lease.SafetyMargin)
	if _, held := keeper.Held(); held {
		t.Fatal("the term was counted from the response")
	}
}

// A lease without a row in a later era may have been held before the store came back from a
// copy without it, so that a process that starts waits for a term. When the whole system
// starts for the first time nobody can have held it.
func TestLeaseWithoutARowIsAcquiredAtOnceOnlyAtTheFirstStart(t *testing.T) {
	for name, c := range map[string]struct{ first, restored, held bool }{
		"first start":                       {true, false, true},
		"later start":                       {false, false, false},
		"store went back since first start": {true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			keeper := NewWithClock(platform.NewTables(), "duty", "process", func() time.Time { return now })
			keeper.SetFirstEpochFunc(func() lease.Epoch { return lease.FirstEpoch(1) })
			if c.first {
				keeper.AssumeNeverHeld()
			}
			if c.restored {
				keeper.StoreRestored()
			}
			keeper.Step(t.Context())
			_, held := keeper.Held()
			require.Equal(t, c.held, held)
			now = now.Add(defaultTerm + lease.SafetyMargin)
			keeper.Step(t.Context())
			_, held = keeper.Held()
			require.True(t, held)
		})
	}
}

// A transaction of an earlier era held again once versions were given out again: a holder
// that had not heard that the store went back acted beside the next one.
func TestGuardOfAnEarlierEraNeverHoldsAgain(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	store := platform.NewTables()
	era := int64(0)
	newKeeper := func(name string) *Keeper {
		keeper := NewWithClock(store, "duty", name, func() time.Time { return now })
		keeper.SetFirstEpochFunc(func() lease.Epoch { return lease.FirstEpoch(era) })
		return keeper
	}
	first := newKeeper("a")
	first.Step(t.Context())
	before, held := first.Fence()
	require.True(t, held)
	guarded := func(fence Fence) error {
		return store.Commit(t.Context(), tables.Txn{Conditions: []tables.Condition{fence.Guard}, Writes: []tables.Write{{Key: effectKey, Value: []byte("{}")}}})
	}
	require.NoError(t, guarded(before))

	store.Restore(store.Copy()) // With the epoch row of the first holder.
	era = 1
	second := newKeeper("b")
	second.Step(t.Context())
	_, held = second.Fence()
	require.False(t, held, "the first one may still act")
	now = now.Add(defaultTerm + lease.SafetyMargin)
	second.Step(t.Context())
	after, held := second.Fence()
	require.True(t, held)
	require.Greater(t, after.Term.Row.Epoch, before.Term.Row.Epoch)
	require.NoError(t, guarded(after))
	require.ErrorIs(t, guarded(before), tables.ErrConflict)
}
