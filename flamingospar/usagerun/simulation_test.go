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
	window     = 10 * time.Second
	grace      = 15 * time.Second
	ackTimeout = 45 * time.Second
	idleClose  = 5 * time.Second
)

var errInjected = errors.New("injected fault")

// faultRates are the probabilities of each fault per call to the platform.
type faultRates struct{ loseResponse, loseRequest, pause, slowReport, crash float64 }

// run is the simulation's own record of a run, against which billing is checked.
type run struct {
	record           usage.Record
	agentCrashed     bool
	entryLacksRecord bool // The entry crashed, or was never notified of the run.
	durable          bool // The record was stored when both processes had lost it.
	lost             bool // The record was not stored when the last process holding it crashed.
}

// simulation holds all processes and the platform. A single goroutine drives it.
type simulation struct {
	random           *rand.Rand
	platform         *platform.Platform
	rates            faultRates
	outage           bool
	entries          []*entry
	agents           []*agent
	runs             map[string]*run
	startedProcesses int
	pausing          bool
	// leaselessWrites counts writes to the sealed table by processes without
	// the lease.
	leaselessWrites int
	registry        *meter.Registry
	teams           int
	refusedTeam     string // The team whose reports the platform refuses.
}

type process struct {
	simulation  *simulation
	id          string
	partitioned bool // Partitioned from the platform.
	crashed     bool // Killed inside a call; replaced after the step.
	paused      bool // Paused inside a call.
}

type entry struct {
	*process
	acks        *entryaccount.Acks
	interceptor *entryaccount.Interceptor
	writer      *entryaccount.Writer
	keeper      *leasekeeper.Keeper
	sealer      *sealing.Sealer
	received    map[string]*run // Runs whose records this entry has received, by source and sequence.
}

type agent struct {
	*process
	address string
	source  string
	ledger  *agentaccount.Ledger
	writer  *agentaccount.Writer
}

func newSimulation(seed uint64, entries, agents int, rates faultRates) *simulation {
	s := &simulation{
		random:   rand.New(rand.NewPCG(seed, seed)),
		platform: platform.New(),
		rates:    rates,
		runs:     make(map[string]*run),
		registry: meter.NewRegistry(),
		teams:    12,
	}
	for range entries {
		s.entries = append(s.entries, s.newEntry())
	}
	for i := range agents {
		s.agents = append(s.agents, s.newAgent(i))
	}
	return s
}

func (s *simulation) newEntry() *entry {
	s.startedProcesses++
	p := &process{simulation: s, id: fmt.Sprintf("entry-%d", s.startedProcesses)}
	e := &entry{process: p, acks: entryaccount.NewAcks()}
	registry := meter.NewRegistry()
	ring := entryaccount.NewRing()
	e.interceptor = entryaccount.NewInterceptor(ring, e.acks, entryaccount.NewCounts(), window, registry)
	e.writer = entryaccount.NewWriter(p, ring, e.acks, noAgents{}, e.id, 5*time.Second, registry)
	e.keeper = leasekeeper.New(p, "usage", e.id)
	e.sealer = e.newSealer(window)
	return e
}

func (e *entry) newSealer(length time.Duration) *sealing.Sealer {
	config := sealing.Config{Window: length, Grace: grace, IdleClose: idleClose, RecordRetention: 7 * 24 * time.Hour, SealedRetention: 2 * time.Hour, MaxConcurrentReports: 1}
	return sealing.New(e.process, reporter{e}, e.keeper, config, e.simulation.registry)
}

func (s *simulation) newAgent(index int) *agent {
	s.startedProcesses++
	p := &process{simulation: s}
	a := &agent{process: p, address: fmt.Sprintf("agent-%d:80", index), source: fmt.Sprintf("agent-%d.%d", index, s.startedProcesses)}
	a.ledger = agentaccount.NewLedger(a.source, agentaccount.ModelKind)
	a.writer = agentaccount.NewWriter(a.ledger, p, ackTimeout, meter.NewRegistry())
	return a
}

type noAgents struct{}

func (noAgents) UsageClients() []fleet.UsageClient { return nil }

// serve runs one request of a team. If entryNotified is false, the entry doesn't
// receive the run's record.
func (s *simulation) serve(a *agent, e *entry, entryNotified bool) {
	team := fmt.Sprintf("team-%d", s.random.IntN(s.teams))
	a.ledger.Acknowledge(e.acks.Take(a.address))
	figures := usage.Figures{Requests: 1, PromptTokens: 1 + s.random.Int64N(2000), OutputTokens: 1 + s.random.Int64N(400)}
	record := a.ledger.Count(team, figures, window, time.Now())
	s.runs[fmt.Sprintf("%s/%d", record.Source, record.Sequence)] = &run{record: record, entryLacksRecord: !entryNotified}
	if !entryNotified {
		return
	}
	tracked := s.runs[fmt.Sprintf("%s/%d", record.Source, record.Sequence)]
	if e.received == nil {
		e.received = make(map[string]*run)
	}
	e.received[record.Source+fmt.Sprint(record.Sequence)] = tracked
	e.interceptor.RecordFinished(team, a.address, &wirev1.Finished{UsageRecord: &wirev1.UsageRecord{
		Source:   record.Source,
		Sequence: record.Sequence,
		Window:   int64(record.Window),
		Figures:  &wirev1.UsageFigures{Requests: 1, PromptTokens: figures.PromptTokens, OutputTokens: figures.OutputTokens},
	}}, figures.OutputTokens)
}

// killEntry replaces an entry with a new one that has no state.
func (s *simulation) killEntry(i int) {
	for _, run := range s.entries[i].received {
		run.entryLacksRecord = true
	}
	s.entries[i] = s.newEntry()
	s.markLostRuns()
}

// killAgent replaces an agent with a new one at the same address.
func (s *simulation) killAgent(i int) {
	for _, run := range s.runs {
		if run.record.Source == s.agents[i].source {
			run.agentCrashed = true
		}
	}
	s.agents[i] = s.newAgent(i)
	s.markLostRuns()
}

// markLostRuns marks the runs whose records were not stored when both processes
// that held them had crashed.
func (s *simulation) markLostRuns() {
	durable := make(map[string]bool)
	err := usagestore.ForEachBatch(context.Background(), s.platform.Tables, 1<<40, func(stored usagestore.StoredBatch) error {
		for _, record := range stored.Batch.Records {
			durable[fmt.Sprintf("%s/%d", record.Source, record.Sequence)] = true
		}
		return nil
	})
	sources, sourcesErr := usagestore.ReadSources(context.Background(), s.platform.Tables)
	if err != nil || sourcesErr != nil {
		panic(errors.Join(err, sourcesErr))
	}
	for id, run := range s.runs {
		if !run.agentCrashed || !run.entryLacksRecord || run.lost || run.durable {
			continue
		}
		source := sources[run.record.Source]
		run.durable = durable[id] || (source != nil && source.Has(run.record.Sequence))
		run.lost = !run.durable
	}
}

// step runs one step of each process that isn't paused.
func (s *simulation) step(ctx context.Context) {
	for _, e := range append([]*entry(nil), s.entries...) {
		if !e.paused {
			e.step(ctx)
		}
	}
	for _, a := range append([]*agent(nil), s.agents...) {
		if !a.paused {
			a.writer.Step(ctx, time.Now())
		}
	}
	s.replaceCrashed()
}

// replaceCrashed replaces the processes that crashed inside a call.
func (s *simulation) replaceCrashed() {
	for i, e := range s.entries {
		if e.crashed && !e.paused {
			s.killEntry(i)
		}
	}
	for i, a := range s.agents {
		if a.crashed && !a.paused {
			s.killAgent(i)
		}
	}
}

func (e *entry) step(ctx context.Context) {
	e.keeper.Step(ctx)
	e.writer.Flush(ctx)
	e.sealer.Step(ctx)
}

// clearFaults ends all faults and steps the processes until they have caught up.
func (s *simulation) clearFaults() {
	s.rates = faultRates{}
	s.outage = false
	s.endPartitions()
	for range 60 {
		time.Sleep(2 * time.Second)
		s.step(context.Background())
	}
}
