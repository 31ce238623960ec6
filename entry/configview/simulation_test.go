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

// TestMain sets the default seed and number of schedules; the flags -rapid.seed and
// -rapid.checks override them.
func TestMain(m *testing.M) {
	propertytest.Set(propertytest.Defaults{Seed: 1, Checks: 1500, Steps: 60})
	invariant.SetPanicOnViolation(true)
	logtest.Silence()
	os.Exit(m.Run())
}

var errUnreachable = errors.New("peer is unreachable")

// simulation runs a table service, entries and agents with injected faults and a
// simulated clock.
type simulation struct {
	t                 *rapid.T
	now               time.Time
	store             *platform.Tables
	storeDown         bool
	loseCommitReplies bool // Commit responses may be lost after the commit took effect.
	delayCalls        bool // Each call may take seconds, before and after its effect.
	losePeerReplies   bool // Responses of entries, or the changes in them, may be lost.
	entries           []*simEntry
	agents            []*agent
	pendingRuns       []pendingRun
	// afterExchange is called after an entry has replied to another, afterRead after
	// a read of the table service. Both may be nil.
	afterExchange func(from, to *simEntry)
	afterRead     func(by *simEntry)
	starts        int
	changes       int
	delayDepth    int

	inForceAt map[config.Revision]time.Time // Time since which an accepted revision is in force; zero if it is not yet.
	racedIDs  []string                      // IDs of changes refused with ErrRaced.
	liveKeys  []string                      // IDs of issued keys.
	withdrawn map[string]config.Revision    // Revisions of withdrawals by key ID.
}

// simEntry is one listed entry. A restart replaces its process.
type simEntry struct {
	sim                *simulation
	index              int
	view               *configview.View
	paused             bool
	inCall             bool // During a step or a write.
	storeUnreachable   bool
	unreachableEntries map[int]bool // By index of the entry.
	unreachableAgents  map[int]bool
	marks              map[int]mark
}

type mark struct{ issuedAt, receivedAt time.Time }

// agent is an agent's tracker of the configuration.
type agent struct{ tracker *config.Tracker }

func newSimulation(t *rapid.T, entries, agents int) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_000_000, 0), store: platform.NewTables(),
		inForceAt: make(map[config.Revision]time.Time), withdrawn: make(map[string]config.Revision),
	}
	for i := range entries {
		s := &simEntry{sim: sim, index: i, unreachableEntries: make(map[int]bool), unreachableAgents: make(map[int]bool)}
		sim.entries = append(sim.entries, s)
		s.restart()
	}
	for range agents {
		sim.agents = append(sim.agents, &agent{tracker: config.NewTracker()})
	}
	return sim
}

func (s *simEntry) restart() {
	s.sim.starts++
	s.paused, s.inCall = false, false
	s.marks = make(map[int]mark)
	s.view = configview.New(entryStore{s}, configview.Options{
		Instance: fmt.Sprintf("entry-%d-%d", s.index, s.sim.starts),
		Peers:    s, Clock: func() time.Time { return s.sim.now }, Parallel: 1, Recent: 2,
	})
}

func (s *simEntry) Self() string { return fmt.Sprint(s.index) }

func (s *simEntry) Others() []string {
	var others []string
	for _, other := range s.sim.entries {
		if other != s {
			others = append(others, other.Self())
		}
	}
	return others
}

func (s *simEntry) Exchange(_ context.Context, address string, request configview.ExchangeRequest) (configview.ExchangeReply, error) {
	for _, other := range s.sim.entries {
		if other.Self() != address {
			continue
		}
		if s.unreachableEntries[other.index] || other.paused {
			return configview.ExchangeReply{}, errUnreachable
		}
		s.sim.delayCall()
		reply := other.view.HandleExchange(request)
		s.sim.delayCall()
		if s.sim.afterExchange != nil {
			s.sim.afterExchange(s, other)
		}
		if s.sim.losePeerReplies && s.sim.chance("changes left out", 4) {
			reply.Changes, reply.Snapshot = nil, nil
		}
		if s.unreachableEntries[other.index] || s.sim.losePeerReplies && s.sim.chance("peer answer lost", 4) {
			return configview.ExchangeReply{}, errUnreachable
		}
		return reply, nil
	}
	return configview.ExchangeReply{}, errUnreachable
}

func (sim *simulation) chance(what string, oneIn int) bool {
	return rapid.IntRange(1, oneIn).Draw(sim.t, what) == 1
}

// delayCall advances the clock during a call and may run another entry meanwhile.
func (sim *simulation) delayCall() {
	if !sim.delayCalls || sim.delayDepth > 1 || !sim.chance("delay", 6) {
		return
	}
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(sim.t, "ms")) * time.Millisecond)
	sim.delayDepth++
	defer func() { sim.delayDepth-- }()
	other := sim.pick()
	switch rapid.IntRange(0, 2).Draw(sim.t, "meanwhile") {
	case 0:
		other.step()
	case 1:
		sim.change(0, other)
	}
}

// step runs View.Step unless the process is paused or in a call.
func (s *simEntry) step() {
	if s.paused || s.inCall {
		return
	}
	view := s.view
	s.inCall = true
	view.Step(context.Background())
	if s.view == view {
		s.inCall = false
	}
}

func (sim *simulation) pick() *simEntry {
	return sim.entries[rapid.IntRange(0, len(sim.entries)-1).Draw(sim.t, "entry")]
}

// entryStore is the table service as seen by one entry.
type entryStore struct{ entry *simEntry }

func (s entryStore) reach() error {
	sim := s.entry.sim
	sim.delayCall()
	if sim.storeDown || s.entry.storeUnreachable {
		return tables.ErrUnavailable
	}
	return nil
}

func (s entryStore) Get(ctx context.Context, key tables.Key) (tables.Row, error) {
	if err := s.reach(); err != nil {
		return tables.Row{}, err
	}
	defer s.entry.sim.delayCall()
	row, err := s.entry.sim.store.Get(ctx, key)
	if s.entry.sim.afterRead != nil {
		s.entry.sim.afterRead(s.entry)
	}
	return row, err
}

func (s entryStore) Scan(ctx context.Context, table, prefix, start string, limit int) ([]tables.Row, error) {
	if err := s.reach(); err != nil {
		return nil, err
	}
	return s.entry.sim.store.Scan(ctx, table, prefix, start, limit)
}

func (s entryStore) Commit(ctx context.Context, txn tables.Txn) error {
	if err := s.reach(); err != nil {
		return err
	}
	err := s.entry.sim.store.Commit(ctx, txn)
	if s.entry.sim.loseCommitReplies && s.entry.sim.chance("commit answer lost", 2) {
		return tables.ErrUnavailable
	}
	return err
}

// change writes a random change through an entry.
func (sim *simulation) change(base config.Revision, s *simEntry) {
	if s.paused || s.inCall {
		return
	}
	s.inCall = true
	defer func() { s.inCall = false }()
	sim.changes++
	id := fmt.Sprintf("change-%d", sim.changes)
	change := config.Change{ID: id, Operator: "test"}
	switch kind := rapid.IntRange(0, 2).Draw(sim.t, "kind"); {
	case kind == 0 && len(sim.liveKeys) > 0:
		change.WithdrawKey = rapid.SampledFrom(sim.liveKeys).Draw(sim.t, "key")
	case kind == 1:
		change.Catalogue = new(catalogue.Document)
	default:
		change.IssueKey = &config.Key{ID: id, Team: "team", Hash: config.KeyHash(id)}
	}
	revision, err := s.view.Write(context.Background(), base, change)
	if errors.Is(err, configview.ErrRaced) {
		sim.racedIDs = append(sim.racedIDs, id)
	}
	if err != nil {
		return
	}
	sim.inForceAt[revision] = time.Time{}
	if change.IssueKey != nil {
		sim.liveKeys = append(sim.liveKeys, id)
	}
	if change.WithdrawKey != "" {
		sim.withdrawn[change.WithdrawKey] = revision
	}
	sim.propagate(s, revision)
}

func (sim *simulation) propagate(s *simEntry, revision config.Revision) {
	if since, pending := sim.inForceAt[revision]; !pending || !since.IsZero() || s.paused || s.view.Latest() == nil {
		return
	}
	result := s.view.Propagate(context.Background(), revision)
	if result.Acknowledged == result.Listed {
		sim.inForceAt[revision] = sim.now
		return
	}
	if 2*result.Acknowledged > result.Listed {
		sim.inForceAt[revision] = sim.now.Add(config.EntryMaxStaleness)
	}
}

// tick advances the clock, then steps all entries and updates the agents.
func (sim *simulation) tick(millis int) {
	sim.now = sim.now.Add(time.Duration(millis) * time.Millisecond)
	for _, s := range sim.entries {
		s.step()
		for index := range sim.agents {
			sim.updateAgent(s, index)
		}
	}
}

// updateAgent sends an update and evidence from an entry to an agent.
func (sim *simulation) updateAgent(s *simEntry, index int) {
	if s.paused || s.unreachableAgents[index] {
		return
	}
	tracker := sim.agents[index].tracker
	age, proved := s.view.Evidence()
	readAt := sim.now
	sim.delayCall()
	update := s.view.UpdateSince(tracker.Synced())
	previous, marked := s.marks[index]
	sim.delayCall()
	tracker.Update(update.Revision, update.Withdrawn, update.Complete, sim.now)
	if proved && marked {
		tracker.RecordEvidence(previous.issuedAt.Add(readAt.Add(-age).Sub(previous.receivedAt)))
	}
	issued := sim.now
	sim.delayCall()
	s.marks[index] = mark{issuedAt: issued, receivedAt: sim.now}
}

// pendingRun is a run that an entry has authenticated and not yet sent.
type pendingRun struct {
	entry    *simEntry
	revision config.Revision
	key      string
}

// authenticateRun authenticates a request with a random key at an entry.
func (sim *simulation) authenticateRun(s *simEntry) {
	state := s.view.Current()
	if state == nil || len(sim.liveKeys) == 0 {
		return
	}
	id := rapid.SampledFrom(sim.liveKeys).Draw(sim.t, "key")
	if _, known := state.KeyByHash(config.KeyHash(id)); known {
		sim.pendingRuns = append(sim.pendingRuns, pendingRun{entry: s, revision: state.Revision, key: id})
	}
}

// deliverRun sends a run to an agent at any time after its authentication.
func (sim *simulation) deliverRun(index int) {
	if len(sim.pendingRuns) == 0 {
		return
	}
	run := rapid.SampledFrom(sim.pendingRuns).Draw(sim.t, "run")
	tracker := sim.agents[index].tracker
	if run.entry.unreachableAgents[index] || tracker.Check(run.revision, run.key, sim.now) != config.DecisionAdmit {
		return
	}
	revision, gone := sim.withdrawn[run.key]
	if !gone {
		return
	}
	if tracker.Synced() >= revision {
		sim.t.Fatalf("agent %d admitted key %s that it knows to be withdrawn", index, run.key)
	}
	since := sim.inForceAt[revision]
	if !since.IsZero() && sim.now.Sub(since) >= config.AgentMaxStaleness {
		sim.t.Fatalf("agent %d admitted a run of key %s, withdrawn for %s", index, run.key, sim.now.Sub(since))
	}
}

// partition splits the entries and agents into two sides. At most one side reaches
// the table service.
func (sim *simulation) partition() {
	side := make([]bool, len(sim.entries))
	for i := range side {
		side[i] = rapid.Bool().Draw(sim.t, "side")
	}
	store := rapid.IntRange(0, 2).Draw(sim.t, "side of the store")
	for i, s := range sim.entries {
		s.storeUnreachable = store == 0 || side[i] != (store == 1)
		for j := range sim.entries {
			s.unreachableEntries[j] = side[i] != side[j]
		}
		for j := range sim.agents {
			s.unreachableAgents[j] = side[i] != (j == 0)
		}
	}
}

// heal ends all faults.
func (sim *simulation) heal() {
	sim.storeDown, sim.loseCommitReplies, sim.losePeerReplies = false, false, false
	for _, s := range sim.entries {
		s.paused, s.storeUnreachable = false, false
		clear(s.unreachableEntries)
		clear(s.unreachableAgents)
	}
}

// checkRevisions asserts that no entry serves a revision older than one in force.
func (sim *simulation) checkRevisions() {
	for _, s := range sim.entries {
		state := s.view.Current()
		if state == nil {
			continue
		}
		for revision, since := range sim.inForceAt {
			if !since.IsZero() && !sim.now.Before(since) && state.Revision < revision {
				sim.t.Fatalf("entry %d serves revision %d; %d is in force", s.index, state.Revision, revision)
			}
		}
	}
}

// requireConvergence ends all faults and asserts that all entries reach the same
// revision.
func (sim *simulation) requireConvergence() {
	sim.delayCalls = false
	sim.heal()
	for _, s := range sim.entries {
		s.step()
	}
	newest := sim.entries[0].view.Current()
	if newest == nil {
		sim.t.Fatalf("entry 0 does not serve after all faults ended")
	}
	for _, s := range sim.entries {
		state := s.view.Current()
		if state == nil || state.Revision != newest.Revision {
			sim.t.Fatalf("entry %d has not caught up", s.index)
		}
		for key := range sim.withdrawn {
			if _, found := state.KeyByHash(config.KeyHash(key)); found {
				sim.t.Fatalf("withdrawn key %s is still valid", key)
			}
		}
	}
	sim.checkLog(newest.Revision)
}

// checkLog asserts that each change is in the log at most once, that all accepted
// changes are in it and that changes refused with ErrRaced are not.
func (sim *simulation) checkLog(newest config.Revision) {
	seen := make(map[string]bool)
	for from := config.Revision(1); from <= newest; from += 500 {
		changes, err := sim.entries[0].view.History(context.Background(), from, 500)
		if err != nil {
			sim.t.Fatalf("history: %v", err)
		}
		for _, change := range changes {
			if seen[change.ID] {
				sim.t.Fatalf("change %s was accepted twice", change.ID)
			}
			seen[change.ID] = true
		}
	}
	for _, id := range sim.racedIDs {
		if seen[id] {
			sim.t.Fatalf("change %s was refused and accepted", id)
		}
	}
	if len(seen) < len(sim.inForceAt) {
		sim.t.Fatalf("%d changes are in the log, %d were accepted", len(seen), len(sim.inForceAt))
	}
}
