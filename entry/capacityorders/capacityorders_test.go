package capacityorders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging/logtest"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/propertytest"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/capacity"
	"flamingospar.org/platform/tables"
	"flamingospar.org/standin/platform"
)

// TestMain sets the default seed and number of schedules. The flags -rapid.seed
// and -rapid.checks override them.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 300, Steps: 80})
	invariant.SetPanicOnViolation(true)
	logtest.Silence()
	os.Exit(m.Run())
}

var errResponseLost = errors.New("response lost")

// simulation runs processes that order endpoints against a store and the platform's
// capacity interface with injected faults. Only the schedule advances the clock.
type simulation struct {
	t         *rapid.T
	now       time.Time
	store     *platform.Tables
	processes []*process
	starts    int
	depth     int
	wanted    int

	outage, loseResponses, delayCalls bool

	effectiveOrders  []capacity.Order // In the order in which their ids first arrived.
	targetsByID      map[string]int
	lastEpoch        int64 // Highest epoch of an order that arrived.
	lastDecidedEpoch int64 // Epoch in which the last effective target was decided.
}

type process struct {
	simulation *simulation
	keeper     *leasekeeper.Keeper
	reconciler *Reconciler
	paused     bool
	busy       bool
	instance   string
}

func (s *simulation) start(i int) {
	s.starts++
	p := &process{simulation: s, instance: fmt.Sprintf("process-%d", s.starts)}
	p.keeper = leasekeeper.NewWithClock(s, LeaseName("a"), p.instance, func() time.Time { return s.now })
	p.reconciler = New("a", p.instance, s, p, p.keeper, s)
	s.processes[i] = p
}

func (s *simulation) Targets(string) []Target { return []Target{{Kind: "model", Count: s.wanted}} }

func (s *simulation) delayCall() {
	if !s.delayCalls || s.depth > 0 || rapid.IntRange(1, 3).Draw(s.t, "delayed") > 1 {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	for range rapid.IntRange(1, 8).Draw(s.t, "intervals") {
		s.now = s.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(s.t, "ms")) * time.Millisecond)
		s.step()
	}
}

// step runs a step of one process, unless it is paused or in the middle of a
// call.
func (s *simulation) step() {
	p := s.processes[rapid.IntRange(0, len(s.processes)-1).Draw(s.t, "process")]
	if p.paused || p.busy {
		return
	}
	p.busy = true
	defer func() { p.busy = false }()
	p.keeper.Step(context.Background())
	_ = p.reconciler.Step(context.Background())
}

func (s *simulation) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	s.delayCall()
	if s.outage {
		return tables.Row{}, tables.ErrUnavailable
	}
	return s.store.Get(ctx, key)
}

func (s *simulation) Scan(ctx context.Context, table, prefix, start string, limit int) ([]tables.Row, error) {
	s.delayCall()
	if s.outage {
		return nil, tables.ErrUnavailable
	}
	return s.store.Scan(ctx, table, prefix, start, limit)
}

func (s *simulation) Commit(ctx context.Context, txn tables.Txn) error {
	s.delayCall()
	defer s.delayCall()
	if s.outage {
		return tables.ErrUnavailable
	}
	err := s.store.Commit(ctx, txn)
	if err == nil {
		s.checkIntentEpoch(txn)
	}
	if s.loseResponses && rapid.Bool().Draw(s.t, "lost") {
		return tables.ErrUnavailable
	}
	return err
}

// checkIntentEpoch asserts that an intent is written in the term in which it was
// decided.
func (s *simulation) checkIntentEpoch(txn tables.Txn) {
	for _, write := range txn.Writes {
		var intent Intent
		if write.Key.Table != tableName || json.Unmarshal(write.Value, &intent) != nil || intent.Placed {
			continue
		}
		row, err := s.store.Get(context.Background(), tables.Key{Table: "leases", Row: LeaseName("a") + "/epoch"})
		var held lease.Row
		if err != nil || json.Unmarshal(row.Value, &held) != nil || int64(held.Epoch) != intent.Epoch {
			s.t.Fatalf("an intent of term %d was written in term %d", intent.Epoch, held.Epoch)
		}
	}
}

// Place implements capacity.Orders. The process may be delayed at any point before
// the check that netx.Guarded makes at the write, but not after it.
func (p *process) Place(_ context.Context, order capacity.Order) error {
	s := p.simulation
	s.delayCall()
	if _, held := p.keeper.Held(); !held {
		return errResponseLost
	}
	s.receiveOrder(order)
	s.delayCall()
	if s.loseResponses && rapid.Bool().Draw(s.t, "lost") {
		return errResponseLost
	}
	return nil
}

// receiveOrder stands in for the platform. An order whose id was seen before has no
// effect.
func (s *simulation) receiveOrder(order capacity.Order) {
	if order.Epoch < s.lastEpoch {
		s.t.Fatalf("an order of term %d came after one of term %d", order.Epoch, s.lastEpoch)
	}
	s.lastEpoch = order.Epoch
	if target, known := s.targetsByID[order.ID]; known {
		if target != order.Target {
			s.t.Fatalf("order %s came with targets %d and %d", order.ID, target, order.Target)
		}
		return
	}
	s.targetsByID[order.ID] = order.Target
	s.effectiveOrders = append(s.effectiveOrders, order)
	s.checkStoredIntent(order)
}

// checkStoredIntent asserts that an effective order matches the stored intent, and
// that no intent of an ended term takes effect after one of a later term.
func (s *simulation) checkStoredIntent(order capacity.Order) {
	row, err := s.store.Get(context.Background(), tables.Key{Table: tableName, Row: "a/model"})
	if err != nil || !strings.Contains(string(row.Value), order.ID) {
		s.t.Fatalf("order %s took effect; stored is %s", order.ID, row.Value)
	}
	var intent Intent
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		s.t.Fatal(err)
	}
	if intent.Epoch < s.lastDecidedEpoch {
		s.t.Fatalf("a target of term %d took effect after one of term %d", intent.Epoch, s.lastDecidedEpoch)
	}
	s.lastDecidedEpoch = intent.Epoch
}

func (s *simulation) requireConvergence() {
	s.outage, s.loseResponses, s.delayCalls = false, false, false
	for _, p := range s.processes {
		p.paused = false
	}
	for range 40 {
		s.now = s.now.Add(time.Second)
		for _, p := range s.processes {
			p.keeper.Step(context.Background())
			_ = p.reconciler.Step(context.Background())
		}
	}
	if len(s.effectiveOrders) == 0 || s.effectiveOrders[len(s.effectiveOrders)-1].Target != s.wanted {
		s.t.Fatalf("the platform has %v, wanted %d", s.effectiveOrders, s.wanted)
	}
}

// TestOrdersFromOneTerm checks that an ended term has no effect after a later one
// while processes are killed and paused, the store is out and responses are lost.
func TestOrdersFromOneTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 3).Draw(t, "processes")
		s := &simulation{t: t, now: time.Unix(1_000_000, 0), store: platform.NewTables(), processes: make([]*process, count), targetsByID: make(map[string]int)}
		s.delayCalls = rapid.Bool().Draw(t, "slow")
		for i := range s.processes {
			s.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				s.t = t
				s.now = s.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
				s.step()
			},
			"steps": func(t *rapid.T) {
				s.t = t
				for range 5 {
					s.now = s.now.Add(2 * time.Second)
					s.step()
				}
			},
			"wait":   func(t *rapid.T) { s.now = s.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
			"want":   func(t *rapid.T) { s.wanted = rapid.IntRange(1, 9).Draw(t, "wanted") },
			"outage": func(*rapid.T) { s.outage = !s.outage },
			"lose":   func(*rapid.T) { s.loseResponses = !s.loseResponses },
			"heal":   func(*rapid.T) { s.outage, s.loseResponses = false, false },
			"kill":   func(t *rapid.T) { s.start(rapid.IntRange(0, count-1).Draw(t, "process")) },
			"pause": func(t *rapid.T) {
				p := s.processes[rapid.IntRange(0, count-1).Draw(t, "process")]
				p.paused = !p.paused
			},
		})
		s.t = t
		s.requireConvergence()
	})
}
