package configview_test

import (
	"context"
	"errors"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging/logtest"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/core/propertytest"
	"flamingospar.org/entry/configview"
	"flamingospar.org/platform/tables"
	"flamingospar.org/standin/platform"
)

// TestMain fixes the seed and the number of schedules; the flags -rapid.seed
// and -rapid.checks run others, and more.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 1500, Steps: 60})
	invariant.SetPanicOnViolation(true)
	logtest.Silence()
	os.Exit(m.Run())
}

var errCut = errors.New("cut off")

// world is a store, entries and agents under a schedule of faults, on a clock
// that only the schedule moves.
type world struct {
	t       *rapid.T
	now     time.Time
	store   *platform.Tables
	outage  bool
	lose    bool // Answers of the store are lost after taking effect.
	slow    bool // Each call may take seconds, before and after its effect.
	lossy   bool // Answers of entries are lost.
	entries []*slot
	agents  []*agent
	runs    []pendingRun
	// answered is called after an entry has answered another, read after a read
	// of the store; both may be nil.
	answered func(from, to *slot)
	read     func(by *slot)
	starts   int
	changes  int
	depth    int

	accepted map[config.Revision]time.Time // In force since; zero: not yet.
	refused  []string                      // Ids of changes refused as raced.
	live     []string                      // Ids of keys.
	gone     map[string]config.Revision    // Withdrawn keys.
}

// slot is one listed entry: a process, and after a restart its successor.
type slot struct {
	world    *world
	index    int
	view     *configview.View
	paused   bool
	busy     bool // In the middle of a step.
	noStore  bool
	cutFrom  map[int]bool // Entries.
	cutAgent map[int]bool
	marks    map[int]mark
}

type mark struct{ given, received time.Time }

// agent is an agent's knowledge of the configuration.
type agent struct{ watch *config.Tracker }

func newWorld(t *rapid.T, entries, agents int) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), store: platform.NewTables(),
		accepted: make(map[config.Revision]time.Time), gone: make(map[string]config.Revision),
	}
	for i := range entries {
		s := &slot{world: w, index: i, cutFrom: make(map[int]bool), cutAgent: make(map[int]bool)}
		w.entries = append(w.entries, s)
		s.restart()
	}
	for range agents {
		w.agents = append(w.agents, &agent{watch: config.NewTracker()})
	}
	return w
}

func (s *slot) restart() {
	s.world.starts++
	s.paused, s.busy = false, false
	s.marks = make(map[int]mark)
	s.view = configview.New(storeOf{s}, configview.Options{
		Instance: fmt.Sprintf("entry-%d-%d", s.index, s.world.starts),
		Peers:    s, Clock: func() time.Time { return s.world.now }, Parallel: 1, Recent: 2,
	})
}

func (s *slot) Self() string { return fmt.Sprint(s.index) }

func (s *slot) Others() []string {
	var others []string
	for _, other := range s.world.entries {
		if other != s {
			others = append(others, other.Self())
		}
	}
	return others
}

func (s *slot) Exchange(_ context.Context, address string, question configview.Question) (configview.Answer, error) {
	for _, other := range s.world.entries {
		if other.Self() != address {
			continue
		}
		if s.cutFrom[other.index] || other.paused {
			return configview.Answer{}, errCut
		}
		s.world.dawdle()
		answer := other.view.Answer(question)
		s.world.dawdle()
		if s.world.answered != nil {
			s.world.answered(s, other)
		}
		if s.world.lossy && s.world.chance("changes left out", 4) {
			answer.Changes, answer.Snapshot = nil, nil
		}
		if s.cutFrom[other.index] || s.world.lossy && s.world.chance("peer answer lost", 4) {
			return configview.Answer{}, errCut
		}
		return answer, nil
	}
	return configview.Answer{}, errCut
}

func (w *world) chance(what string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(w.t, what) == 1
}

// dawdle lets time pass in the middle of a call, and others act meanwhile.
func (w *world) dawdle() {
	if !w.slow || w.depth > 1 || !w.chance("dawdle", 6) {
		return
	}
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(w.t, "ms")) * time.Millisecond)
	w.depth++
	defer func() { w.depth-- }()
	other := w.pick()
	switch rapid.IntRange(0, 2).Draw(w.t, "meanwhile") {
	case 0:
		other.step()
	case 1:
		w.change(0, other)
	}
}

// step renews the evidence, unless the process is paused or in a call.
func (s *slot) step() {
	if s.paused || s.busy {
		return
	}
	view := s.view
	s.busy = true
	view.Step(context.Background())
	if s.view == view {
		s.busy = false
	}
}

func (w *world) pick() *slot {
	return w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry")]
}

// storeOf is the store as one entry reaches it.
type storeOf struct{ slot *slot }

func (s storeOf) reach() error {
	w := s.slot.world
	w.dawdle()
	if w.outage || s.slot.noStore {
		return tables.ErrUnavailable
	}
	return nil
}

func (s storeOf) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	if err := s.reach(); err != nil {
		return tables.Row{}, err
	}
	defer s.slot.world.dawdle()
	row, err := s.slot.world.store.Get(ctx, key)
	if s.slot.world.read != nil {
		s.slot.world.read(s.slot)
	}
	return row, err
}

func (s storeOf) Scan(ctx context.Context, table, prefix, start string, limit int) ([]tables.Row, error) {
	if err := s.reach(); err != nil {
		return nil, err
	}
	return s.slot.world.store.Scan(ctx, table, prefix, start, limit)
}

func (s storeOf) Commit(ctx context.Context, txn tables.Txn) error {
	if err := s.reach(); err != nil {
		return err
	}
	err := s.slot.world.store.Commit(ctx, txn)
	if s.slot.world.lose && s.slot.world.chance("commit answer lost", 2) {
		return tables.ErrUnavailable
	}
	return err
}

// change lets an operator change something at an entry.
func (w *world) change(base config.Revision, s *slot) {
	if s.paused || s.busy {
		return
	}
	s.busy = true
	defer func() { s.busy = false }()
	w.changes++
	id := fmt.Sprintf("change-%d", w.changes)
	change := config.Change{ID: id, Operator: "test"}
	switch kind := rapid.IntRange(0, 2).Draw(w.t, "kind"); {
	case kind == 0 && len(w.live) > 0:
		change.WithdrawKey = rapid.SampledFrom(w.live).Draw(w.t, "key")
	case kind == 1:
		change.Catalogue = new(catalogue.Document)
	default:
		change.IssueKey = &config.Key{ID: id, Team: "team", Hash: config.KeyHash(id)}
	}
	revision, err := s.view.Write(context.Background(), base, change)
	if errors.Is(err, configview.ErrRaced) {
		w.refused = append(w.refused, id)
	}
	if err != nil {
		return
	}
	w.accepted[revision] = time.Time{}
	if change.IssueKey != nil {
		w.live = append(w.live, id)
	}
	if change.WithdrawKey != "" {
		w.gone[change.WithdrawKey] = revision
	}
	w.spread(s, revision)
}

func (w *world) spread(s *slot, revision config.Revision) {
	if since, pending := w.accepted[revision]; !pending || !since.IsZero() || s.paused || s.view.Held() == nil {
		return
	}
	standing := s.view.Spread(context.Background(), revision)
	if standing.Acknowledged == standing.Listed {
		w.accepted[revision] = w.now
		return
	}
	if 2*standing.Acknowledged > standing.Listed {
		w.accepted[revision] = w.now.Add(config.EntryMaxStaleness)
	}
}

// tick lets every process that is not paused renew its evidence and pass it on.
func (w *world) tick(millis int) {
	w.now = w.now.Add(time.Duration(millis) * time.Millisecond)
	for _, s := range w.entries {
		s.step()
		for index := range w.agents {
			w.brief(s, index)
		}
	}
}

// brief passes news from an entry to an agent.
func (w *world) brief(s *slot, index int) {
	if s.paused || s.cutAgent[index] {
		return
	}
	watch := w.agents[index].watch
	age, proved := s.view.Evidence()
	taken := w.now
	w.dawdle()
	news := s.view.News(watch.Synced())
	given, marked := s.marks[index]
	w.dawdle()
	watch.Update(news.Revision, news.Withdrawn, news.Complete, w.now)
	if proved && marked {
		watch.RecordEvidence(given.given.Add(taken.Add(-age).Sub(given.received)))
	}
	issued := w.now
	w.dawdle()
	s.marks[index] = mark{given: issued, received: w.now}
}

// pendingRun is a run that an entry has authenticated and not yet sent.
type pendingRun struct {
	slot     *slot
	revision config.Revision
	key      string
}

// authenticate lets a caller with a key come to an entry.
func (w *world) authenticate(s *slot) {
	state := s.view.Current()
	if state == nil || len(w.live) == 0 {
		return
	}
	id := rapid.SampledFrom(w.live).Draw(w.t, "key")
	if _, known := state.KeyByHash(config.KeyHash(id)); known {
		w.runs = append(w.runs, pendingRun{slot: s, revision: state.Revision, key: id})
	}
}

// deliver sends a run to an agent, perhaps long after it was authenticated.
func (w *world) deliver(index int) {
	if len(w.runs) == 0 {
		return
	}
	run := rapid.SampledFrom(w.runs).Draw(w.t, "run")
	watch := w.agents[index].watch
	if run.slot.cutAgent[index] || watch.Check(run.revision, run.key, w.now) != config.DecisionAdmit {
		return
	}
	revision, gone := w.gone[run.key]
	if !gone {
		return
	}
	if watch.Synced() >= revision {
		w.t.Fatalf("agent %d admitted key %s that it knows to be withdrawn", index, run.key)
	}
	since := w.accepted[revision]
	if !since.IsZero() && w.now.Sub(since) >= config.AgentMaxStaleness {
		w.t.Fatalf("agent %d admitted a run of key %s, withdrawn for %s", index, run.key, w.now.Sub(since))
	}
}

// split parts the entries and agents into two sides, of which one at most
// reaches the store.
func (w *world) split() {
	side := make([]bool, len(w.entries))
	for i := range side {
		side[i] = rapid.Bool().Draw(w.t, "side")
	}
	store := rapid.IntRange(0, 2).Draw(w.t, "side of the store")
	for i, s := range w.entries {
		s.noStore = store == 0 || side[i] != (store == 1)
		for j := range w.entries {
			s.cutFrom[j] = side[i] != side[j]
		}
		for j := range w.agents {
			s.cutAgent[j] = side[i] != (j == 0)
		}
	}
}

// heal ends all faults.
func (w *world) heal() {
	w.outage, w.lose, w.lossy = false, false, false
	for _, s := range w.entries {
		s.paused, s.noStore = false, false
		clear(s.cutFrom)
		clear(s.cutAgent)
	}
}

// check asserts that no entry shows a revision older than one in force.
func (w *world) check() {
	for _, s := range w.entries {
		state := s.view.Current()
		if state == nil {
			continue
		}
		for revision, since := range w.accepted {
			if !since.IsZero() && !w.now.Before(since) && state.Revision < revision {
				w.t.Fatalf("entry %d serves revision %d; %d is in force", s.index, state.Revision, revision)
			}
		}
	}
}

// settle ends all faults and asserts that everything comes together.
func (w *world) settle() {
	w.slow = false
	w.heal()
	for _, s := range w.entries {
		s.step()
	}
	newest := w.entries[0].view.Current()
	if newest == nil {
		w.t.Fatalf("entry 0 does not serve after all faults ended")
	}
	for _, s := range w.entries {
		state := s.view.Current()
		if state == nil || state.Revision != newest.Revision {
			w.t.Fatalf("entry %d has not caught up", s.index)
		}
		for key := range w.gone {
			if _, live := state.KeyByHash(config.KeyHash(key)); live {
				w.t.Fatalf("withdrawn key %s is live", key)
			}
		}
	}
	w.checkLog(newest.Revision)
}

// checkLog asserts that each change is in the log at most once, the accepted
// ones are, and those refused as raced are not.
func (w *world) checkLog(newest config.Revision) {
	seen := make(map[string]bool)
	for from := config.Revision(1); from <= newest; from += 500 {
		changes, err := w.entries[0].view.History(context.Background(), from, 500)
		if err != nil {
			w.t.Fatalf("history: %v", err)
		}
		for _, change := range changes {
			if seen[change.ID] {
				w.t.Fatalf("change %s was accepted twice", change.ID)
			}
			seen[change.ID] = true
		}
	}
	for _, id := range w.refused {
		if seen[id] {
			w.t.Fatalf("change %s was refused and accepted", id)
		}
	}
	if len(seen) < len(w.accepted) {
		w.t.Fatalf("%d changes are in the log, %d were accepted", len(seen), len(w.accepted))
	}
}
