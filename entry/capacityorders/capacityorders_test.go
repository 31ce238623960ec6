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

// TestMain fixes the seed and the number of schedules; the flags -rapid.seed
// and -rapid.checks run others, and more.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 300, Steps: 80})
	invariant.SetPanicOnViolation(true)
	logtest.Silence()
	os.Exit(m.Run())
}

var errLost = errors.New("answer lost")

// world is a store, the platform's capacity interface and processes that want
// to order, under a schedule of faults on a clock that only the schedule moves.
type world struct {
	t         *rapid.T
	now       time.Time
	store     *platform.Tables
	processes []*process
	starts    int
	depth     int
	wanted    int

	outage, lose, slow bool

	effective []capacity.Order // By first arrival of each id.
	seen      map[string]int
	epoch     int64 // Highest that arrived.
	decided   int64 // Term of the last target that took effect.
}

type process struct {
	world    *world
	keeper   *leasekeeper.Keeper
	duty     *Duty
	paused   bool
	busy     bool
	instance string
}

func (w *world) start(i int) {
	w.starts++
	p := &process{world: w, instance: fmt.Sprintf("process-%d", w.starts)}
	p.keeper = leasekeeper.NewWithClock(w, LeaseName("a"), p.instance, func() time.Time { return w.now })
	p.duty = New("a", p.instance, w, p, p.keeper, w)
	w.processes[i] = p
}

// Targets implements Targets.
func (w *world) Targets(string) []Target { return []Target{{Kind: "model", Count: w.wanted}} }

func (w *world) dawdle() {
	if !w.slow || w.depth > 0 || rapid.IntRange(1, 3).Draw(w.t, "dawdle") > 1 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	for range rapid.IntRange(1, 8).Draw(w.t, "intervals") {
		w.now = w.now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(w.t, "ms")) * time.Millisecond)
		w.step()
	}
}

// step lets one process act that is not in the middle of a call.
func (w *world) step() {
	p := w.processes[rapid.IntRange(0, len(w.processes)-1).Draw(w.t, "process")]
	if p.paused || p.busy {
		return
	}
	p.busy = true
	defer func() { p.busy = false }()
	p.keeper.Step(context.Background())
	_ = p.duty.Step(context.Background())
}

func (w *world) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	w.dawdle()
	if w.outage {
		return tables.Row{}, tables.ErrUnavailable
	}
	return w.store.Get(ctx, key)
}

func (w *world) Scan(ctx context.Context, table, prefix, start string, limit int) ([]tables.Row, error) {
	w.dawdle()
	if w.outage {
		return nil, tables.ErrUnavailable
	}
	return w.store.Scan(ctx, table, prefix, start, limit)
}

func (w *world) Commit(ctx context.Context, txn tables.Txn) error {
	w.dawdle()
	defer w.dawdle()
	if w.outage {
		return tables.ErrUnavailable
	}
	err := w.store.Commit(ctx, txn)
	if err == nil {
		w.checkTerm(txn)
	}
	if w.lose && rapid.Bool().Draw(w.t, "lost") {
		return tables.ErrUnavailable
	}
	return err
}

// checkTerm asserts that an intent is written in the term that decided it.
func (w *world) checkTerm(txn tables.Txn) {
	for _, write := range txn.Writes {
		var intent Intent
		if write.Key.Table != tableName || json.Unmarshal(write.Value, &intent) != nil || intent.Placed {
			continue
		}
		row, err := w.store.Get(context.Background(), tables.Key{Table: "leases", Row: LeaseName("a") + "/epoch"})
		var held lease.Row
		if err != nil || json.Unmarshal(row.Value, &held) != nil || int64(held.Epoch) != intent.Epoch {
			w.t.Fatalf("an intent of term %d was written in term %d", intent.Epoch, held.Epoch)
		}
	}
}

// Place implements capacity.Orders: a pause may come at any point before the
// check that netx.Guarded makes at the write, and none after it.
func (p *process) Place(_ context.Context, order capacity.Order) error {
	w := p.world
	w.dawdle()
	if _, held := p.keeper.Held(); !held {
		return errLost
	}
	w.arrive(order)
	w.dawdle()
	if w.lose && rapid.Bool().Draw(w.t, "lost") {
		return errLost
	}
	return nil
}

// arrive is the platform: an id seen before has no further effect.
func (w *world) arrive(order capacity.Order) {
	if order.Epoch < w.epoch {
		w.t.Fatalf("an order of term %d came after one of term %d", order.Epoch, w.epoch)
	}
	w.epoch = order.Epoch
	if target, known := w.seen[order.ID]; known {
		if target != order.Target {
			w.t.Fatalf("order %s came with targets %d and %d", order.ID, target, order.Target)
		}
		return
	}
	w.seen[order.ID] = order.Target
	w.effective = append(w.effective, order)
	w.checkStored(order)
}

// checkStored asserts that what takes effect is the intent that is stored, and
// that no intent of an ended term follows one of a later term.
func (w *world) checkStored(order capacity.Order) {
	row, err := w.store.Get(context.Background(), tables.Key{Table: tableName, Row: "a/model"})
	if err != nil || !strings.Contains(string(row.Value), order.ID) {
		w.t.Fatalf("order %s took effect; stored is %s", order.ID, row.Value)
	}
	var intent Intent
	if err := json.Unmarshal(row.Value, &intent); err != nil {
		w.t.Fatal(err)
	}
	if intent.Epoch < w.decided {
		w.t.Fatalf("a target of term %d took effect after one of term %d", intent.Epoch, w.decided)
	}
	w.decided = intent.Epoch
}

func (w *world) settle() {
	w.outage, w.lose, w.slow = false, false, false
	for _, p := range w.processes {
		p.paused = false
	}
	for range 40 {
		w.now = w.now.Add(time.Second)
		for _, p := range w.processes {
			p.keeper.Step(context.Background())
			_ = p.duty.Step(context.Background())
		}
	}
	if len(w.effective) == 0 || w.effective[len(w.effective)-1].Target != w.wanted {
		w.t.Fatalf("the platform has %v, wanted %d", w.effective, w.wanted)
	}
}

// TestOrdersFromOneTerm runs schedules of kill, pause, outage and lost answers.
func TestOrdersFromOneTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 3).Draw(t, "processes")
		w := &world{t: t, now: time.Unix(1_000_000, 0), store: platform.NewTables(), processes: make([]*process, count), seen: make(map[string]int)}
		w.slow = rapid.Bool().Draw(t, "slow")
		for i := range w.processes {
			w.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) {
				w.t = t
				w.now = w.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
				w.step()
			},
			"steps": func(t *rapid.T) {
				w.t = t
				for range 5 {
					w.now = w.now.Add(2 * time.Second)
					w.step()
				}
			},
			"wait":   func(t *rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "s")) * time.Second) },
			"want":   func(t *rapid.T) { w.wanted = rapid.IntRange(1, 9).Draw(t, "wanted") },
			"outage": func(*rapid.T) { w.outage = !w.outage },
			"lose":   func(*rapid.T) { w.lose = !w.lose },
			"heal":   func(*rapid.T) { w.outage, w.lose = false, false },
			"kill":   func(t *rapid.T) { w.start(rapid.IntRange(0, count-1).Draw(t, "process")) },
			"pause": func(t *rapid.T) {
				p := w.processes[rapid.IntRange(0, count-1).Draw(t, "process")]
				p.paused = !p.paused
			},
		})
		w.t = t
		w.settle()
	})
}
