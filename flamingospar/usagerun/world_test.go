package usagerun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	agentaccount "flamingospar.org/agent/account"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/usage"
	entryaccount "flamingospar.org/entry/account"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/entry/sealing"
	"flamingospar.org/platform/usagestore"
	"flamingospar.org/standin/platform"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	window    = 10 * time.Second
	grace     = 15 * time.Second
	hold      = 45 * time.Second
	idleClose = 5 * time.Second
)

var errInjected = errors.New("injected fault")

// odds are the chances of a fault at each call of the platform.
type odds struct{ loseAnswer, loseCall, pause, slowReport, die float64 }

// run is one run as it truly happened.
type run struct {
	record    usage.Record
	agentGone bool
	entryGone bool // Or the entry never heard of the run.
	settled   bool // Durable then.
	residue   bool // Not durable when the last process that held it died.
}

// world is all processes and the platform. One goroutine drives it.
type world struct {
	random   *rand.Rand
	platform *platform.Platform
	odds     odds
	outage   bool
	entries  []*entry
	agents   []*agent
	runs     map[string]*run
	started  int
	pausing  bool
	// intruders counts changes of what is sealed without the lease.
	intruders int
	reports   *meter.Registry
	teams     int
	refuse    string // The team whose reports the platform refuses.
}

type process struct {
	world *world
	id    string
	cut   bool // Partitioned from the platform.
	dead  bool // Killed inside a call; replaced after the step.
	busy  bool // Paused inside a call.
}

type entry struct {
	*process
	acks    *entryaccount.Acks
	taker   *entryaccount.Interceptor
	writer  *entryaccount.Writer
	keeper  *leasekeeper.Keeper
	sealer  *sealing.Sealer
	unknown map[string]*run // Runs held here and not known to be durable.
}

type agent struct {
	*process
	address string
	source  string
	ledger  *agentaccount.Ledger
	writer  *agentaccount.Writer
}

func newWorld(seed uint64, entries, agents int, o odds) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, seed)),
		platform: platform.New(),
		odds:     o,
		runs:     make(map[string]*run),
		reports:  meter.NewRegistry(),
		teams:    12,
	}
	for range entries {
		w.entries = append(w.entries, w.newEntry())
	}
	for i := range agents {
		w.agents = append(w.agents, w.newAgent(i))
	}
	return w
}

func (w *world) newEntry() *entry {
	w.started++
	p := &process{world: w, id: fmt.Sprintf("entry-%d", w.started)}
	e := &entry{process: p, acks: entryaccount.NewAcks()}
	registry := meter.NewRegistry()
	ring := entryaccount.NewRing()
	e.taker = entryaccount.NewInterceptor(ring, e.acks, entryaccount.NewCounts(), window, registry)
	e.writer = entryaccount.NewWriter(p, ring, e.acks, noAgents{}, e.id, 5*time.Second, registry)
	e.keeper = leasekeeper.New(p, "usage", e.id)
	e.sealer = e.newSealer(window)
	return e
}

func (e *entry) newSealer(length time.Duration) *sealing.Sealer {
	config := sealing.Config{Window: length, Grace: grace, IdleClose: idleClose, RecordRetention: 7 * 24 * time.Hour, SealedRetention: 2 * time.Hour, MaxConcurrentReports: 1}
	return sealing.New(e.process, reporter{e}, e.keeper, config, e.world.reports)
}

func (w *world) newAgent(index int) *agent {
	w.started++
	p := &process{world: w}
	a := &agent{process: p, address: fmt.Sprintf("agent-%d:80", index), source: fmt.Sprintf("agent-%d.%d", index, w.started)}
	a.ledger = agentaccount.NewLedger(a.source, agentaccount.ModelKind)
	a.writer = agentaccount.NewWriter(a.ledger, p, hold, meter.NewRegistry())
	return a
}

type noAgents struct{}

func (noAgents) UsageClients() []fleet.UsageClient { return nil }

// serve runs one request of a team; the entry may not hear of its end.
func (w *world) serve(a *agent, e *entry, heard bool) {
	team := fmt.Sprintf("team-%d", w.random.IntN(w.teams))
	a.ledger.Acknowledge(e.acks.Take(a.address))
	figures := usage.Figures{Requests: 1, PromptTokens: 1 + w.random.Int64N(2000), OutputTokens: 1 + w.random.Int64N(400)}
	record := a.ledger.Count(team, figures, window, time.Now())
	w.runs[fmt.Sprintf("%s/%d", record.Source, record.Sequence)] = &run{record: record, entryGone: !heard}
	if !heard {
		return
	}
	truth := w.runs[fmt.Sprintf("%s/%d", record.Source, record.Sequence)]
	if e.unknown == nil {
		e.unknown = make(map[string]*run)
	}
	e.unknown[record.Source+fmt.Sprint(record.Sequence)] = truth
	e.taker.RecordFinished(team, a.address, &wirev1.Finished{UsageRecord: &wirev1.UsageRecord{
		Source:   record.Source,
		Sequence: record.Sequence,
		Window:   int64(record.Window),
		Figures:  &wirev1.UsageFigures{Requests: 1, PromptTokens: figures.PromptTokens, OutputTokens: figures.OutputTokens},
	}}, figures.OutputTokens)
}

// killEntry replaces an entry by a new one that knows nothing.
func (w *world) killEntry(i int) {
	for _, run := range w.entries[i].unknown {
		run.entryGone = true
	}
	w.entries[i] = w.newEntry()
	w.noteResidue()
}

// killAgent replaces an agent by a new one at the same address.
func (w *world) killAgent(i int) {
	for _, run := range w.runs {
		if run.record.Source == w.agents[i].source {
			run.agentGone = true
		}
	}
	w.agents[i] = w.newAgent(i)
	w.noteResidue()
}

// noteResidue marks the runs that died with both processes that held them.
func (w *world) noteResidue() {
	durable := make(map[string]bool)
	err := usagestore.ForEachBatch(context.Background(), w.platform.Tables, 1<<40, func(stored usagestore.StoredBatch) error {
		for _, record := range stored.Batch.Records {
			durable[fmt.Sprintf("%s/%d", record.Source, record.Sequence)] = true
		}
		return nil
	})
	sources, sourcesErr := usagestore.ReadSources(context.Background(), w.platform.Tables)
	if err != nil || sourcesErr != nil {
		panic(errors.Join(err, sourcesErr))
	}
	for id, run := range w.runs {
		if !run.agentGone || !run.entryGone || run.residue || run.settled {
			continue
		}
		source := sources[run.record.Source]
		run.settled = durable[id] || (source != nil && source.Has(run.record.Sequence))
		run.residue = !run.settled
	}
}

// step lets every process that is not paused do each of its duties once.
func (w *world) step(ctx context.Context) {
	for _, e := range append([]*entry(nil), w.entries...) {
		if !e.busy {
			e.step(ctx)
		}
	}
	for _, a := range append([]*agent(nil), w.agents...) {
		if !a.busy {
			a.writer.Step(ctx, time.Now())
		}
	}
	w.bury()
}

// bury replaces the processes that were killed inside a call.
func (w *world) bury() {
	for i, e := range w.entries {
		if e.dead && !e.busy {
			w.killEntry(i)
		}
	}
	for i, a := range w.agents {
		if a.dead && !a.busy {
			w.killAgent(i)
		}
	}
}

func (e *entry) step(ctx context.Context) {
	e.keeper.Step(ctx)
	e.writer.Flush(ctx)
	e.sealer.Step(ctx)
}

// heal ends all faults and lets the processes settle.
func (w *world) heal() {
	w.odds = odds{}
	w.outage = false
	w.mend()
	for range 60 {
		time.Sleep(2 * time.Second)
		w.step(context.Background())
	}
}
