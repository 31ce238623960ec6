package leasekeeper

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging/logtest"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/propertytest"
	"flamingospar.org/platform/tables"
	"flamingospar.org/standin/platform"
)

// TestMain fixes the seed and the number of schedules; the flags -rapid.seed
// and -rapid.checks run others, and more.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 2000, Steps: 80})
	invariant.SetPanicOnViolation(true)
	logtest.Silence()
	os.Exit(m.Run())
}

var effectKey = tables.Key{Table: "effects", Row: "effect"}

// world is a store and processes that want one lease, under a schedule of
// faults, on a clock that only the schedule moves.
type world struct {
	t       *rapid.T
	now     time.Time
	store   *platform.Tables
	keepers []*Keeper
	paused  []bool
	starts  int
	depth   int

	outage, lose, late, slow bool
	flying                   []tables.Txn // Sent, and still on their way.
	intended                 []Fence
	effect                   lease.Row // Under which the last guarded effect came.
}

func (w *world) start(i int) {
	w.starts++
	w.paused[i] = false
	w.keepers[i] = NewWithClock(w, "duty", fmt.Sprintf("process-%d", w.starts), func() time.Time { return w.now })
}

// dawdle lets time pass in the middle of a call, while others act.
func (w *world) dawdle() {
	if !w.slow || w.depth > 0 || rapid.IntRange(1, 4).Draw(w.t, "dawdle") > 2 {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	for range rapid.IntRange(1, 6).Draw(w.t, "intervals") {
		w.pass(rapid.IntRange(100, 4000).Draw(w.t, "ms"))
		w.step()
	}
}

func (w *world) pass(millis int) { w.now = w.now.Add(time.Duration(millis) * time.Millisecond) }

// step lets one process that is not in the middle of a call act.
func (w *world) step() {
	i := rapid.IntRange(0, len(w.keepers)-1).Draw(w.t, "process")
	if w.paused[i] {
		return
	}
	w.paused[i] = true
	keeper := w.keepers[i]
	keeper.Step(context.Background())
	if w.keepers[i] == keeper {
		w.paused[i] = false
	}
}

func (w *world) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	w.dawdle()
	defer w.dawdle()
	if w.outage {
		return tables.Row{}, tables.ErrUnavailable
	}
	return w.store.Get(ctx, key)
}

func (w *world) Scan(context.Context, string, string, string, int) ([]tables.Row, error) {
	return nil, tables.ErrUnavailable
}

func (w *world) Commit(ctx context.Context, txn tables.Txn) error {
	w.dawdle()
	defer w.dawdle()
	switch {
	case w.outage:
		return tables.ErrUnavailable
	case w.late && rapid.Bool().Draw(w.t, "late"):
		w.flying = append(w.flying, txn)
		return tables.ErrUnavailable
	}
	err := w.store.Commit(ctx, txn)
	if w.lose && rapid.Bool().Draw(w.t, "lost") {
		return tables.ErrUnavailable
	}
	return err
}

// intend prepares a guarded effect, which is sent at any later time.
func (w *world) intend() {
	i := rapid.IntRange(0, len(w.keepers)-1).Draw(w.t, "process")
	if fence, held := w.keepers[i].Fence(); held {
		w.intended = append(w.intended, fence)
	}
}

// act sends a prepared effect: it has one only while nobody took the lease since.
func (w *world) act() {
	if len(w.intended) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.intended)-1).Draw(w.t, "effect")
	fence := w.intended[i]
	txn := tables.Txn{
		Conditions: []tables.Condition{fence.Guard},
		Writes:     []tables.Write{{Key: effectKey, Value: []byte("{}")}},
	}
	if w.store.Commit(context.Background(), txn) != nil {
		return
	}
	row := fence.Term.Row
	if row.Epoch < w.effect.Epoch || row.Epoch == w.effect.Epoch && row.Holder != w.effect.Holder {
		w.t.Fatalf("epoch %d of %s took effect after epoch %d of %s", row.Epoch, row.Holder, w.effect.Epoch, w.effect.Holder)
	}
	w.effect = row
}

func (w *world) check() {
	holders := 0
	for _, keeper := range w.keepers {
		if _, held := keeper.Held(); held {
			holders++
		}
	}
	if holders > 1 {
		w.t.Fatalf("%d processes believe that they hold the lease", holders)
	}
}

// settle ends all faults and asserts that the lease is held in time.
func (w *world) settle() {
	w.outage, w.lose, w.late, w.slow = false, false, false, false
	ended := w.now
	for w.now.Sub(ended) <= defaultTerm+lease.SafetyMargin+2*defaultTerm/renewals {
		w.pass(1000)
		for _, keeper := range w.keepers {
			keeper.Step(context.Background())
			if _, held := keeper.Held(); held {
				return
			}
		}
	}
	w.t.Fatalf("nobody holds the lease %s after the last fault", w.now.Sub(ended))
}

// TestOneHolder runs schedules of kill, pause, outage, and answers and writes
// that are lost or late.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 4).Draw(t, "processes")
		w := &world{t: t, now: time.Unix(1_000_000, 0), store: platform.NewTables(), keepers: make([]*Keeper, count), paused: make([]bool, count)}
		w.slow = rapid.Bool().Draw(t, "slow")
		for i := range w.keepers {
			w.start(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.t = t; w.check() },
			"step": func(t *rapid.T) {
				w.t = t
				w.pass(rapid.IntRange(1, 3000).Draw(t, "ms"))
				w.step()
			},
			"wait":   func(t *rapid.T) { w.pass(rapid.IntRange(1000, 8000).Draw(t, "ms")) },
			"intend": func(t *rapid.T) { w.t = t; w.intend() },
			"act":    func(t *rapid.T) { w.t = t; w.act() },
			"outage": func(*rapid.T) { w.outage = !w.outage },
			"lose":   func(*rapid.T) { w.lose = !w.lose },
			"late":   func(*rapid.T) { w.late = !w.late },
			"slow":   func(*rapid.T) { w.slow = !w.slow },
			"land": func(t *rapid.T) {
				if len(w.flying) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.flying)-1).Draw(t, "write")
				_ = w.store.Commit(context.Background(), w.flying[i])
				w.flying = append(w.flying[:i], w.flying[i+1:]...)
			},
			"heal": func(*rapid.T) { w.outage, w.lose, w.late = false, false, false },
			"steps": func(t *rapid.T) {
				w.t = t
				for range 4 {
					w.pass(1500)
					w.step()
				}
			},
			"kill":  func(t *rapid.T) { w.start(rapid.IntRange(0, count-1).Draw(t, "process")) },
			"pause": func(t *rapid.T) { i := rapid.IntRange(0, count-1).Draw(t, "process"); w.paused[i] = !w.paused[i] },
			"release": func(t *rapid.T) {
				w.t = t
				i := rapid.IntRange(0, count-1).Draw(t, "process")
				w.keepers[i].Release(context.Background())
			},
		})
		w.t = t
		w.settle()
	})
}

// slowAnswers delays each answer of a store.
type slowAnswers struct {
	*platform.Tables
	after func()
}

func (s slowAnswers) Commit(ctx context.Context, txn tables.Txn) error {
	err := s.Tables.Commit(ctx, txn)
	s.after()
	return err
}

// TestTermCountsFromBeforeTheWrite takes a lease whose answer comes late.
func TestTermCountsFromBeforeTheWrite(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	slow := slowAnswers{Tables: platform.NewTables(), after: func() { now = now.Add(3 * time.Second) }}
	keeper := NewWithClock(slow, "duty", "process", func() time.Time { return now })
	began := now
	keeper.Step(context.Background())
	if _, held := keeper.Held(); !held {
		t.Fatal("the lease is not held after a late answer")
	}
	now = began.Add(defaultTerm - lease.SafetyMargin)
	if _, held := keeper.Held(); held {
		t.Fatal("the term was counted from the answer")
	}
}
