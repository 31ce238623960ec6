package usagerun

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	agentaccount "flamingospar.org/agent/account"
	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/usage"
	entryaccount "flamingospar.org/entry/account"
	"flamingospar.org/entry/fleet"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/entry/sealing"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
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
	config := sealing.Config{Window: window, Grace: grace, IdleClose: idleClose, Remember: 7 * 24 * time.Hour, Keep: 2 * time.Hour, AtOnce: 1}
	e.sealer = sealing.New(p, reporter{e}, e.keeper, config, w.reports)
	return e
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
	e.taker.Finished(team, a.address, &wirev1.Finished{UsageRecord: &wirev1.UsageRecord{
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
	err := usagestore.Due(context.Background(), w.platform.Tables, 1<<40, func(stored usagestore.Stored) error {
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

// store passes one call to the table service, which may be down or cut off.
func (p *process) store(ctx context.Context, effect func() error) error {
	return p.call(ctx, func() error {
		if p.world.outage || p.cut {
			return errors.Join(tables.ErrUnavailable, errInjected)
		}
		return effect()
	})
}

// call passes one call to the platform with the faults in force.
func (p *process) call(ctx context.Context, effect func() error) error {
	w := p.world
	if p.dead {
		return errInjected
	}
	p.maybePause(ctx)
	p.dead = w.chance(w.odds.die)
	if p.dead && w.chance(0.5) || w.chance(w.odds.loseCall) {
		return errors.Join(tables.ErrUnavailable, errInjected)
	}
	err := effect()
	if p.dead || w.chance(w.odds.loseAnswer) {
		return errors.Join(tables.ErrUnavailable, errInjected)
	}
	p.maybePause(ctx)
	if ctx.Err() != nil {
		return errors.Join(tables.ErrUnavailable, ctx.Err())
	}
	return err
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

// maybePause stops the process inside a call while all others go on.
func (p *process) maybePause(context.Context) {
	w := p.world
	if w.pausing || !w.chance(w.odds.pause) {
		return
	}
	for range 1 + w.random.IntN(8) {
		w.others(p, time.Duration(1+w.random.IntN(5))*time.Second)
	}
}

// others stops a process for a time, after which all others step.
func (w *world) others(p *process, pause time.Duration) {
	if w.pausing {
		return
	}
	w.pausing = true
	p.busy = true
	time.Sleep(pause)
	w.step(context.Background())
	p.busy = false
	w.pausing = false
}

// Get implements tables.Service.
func (p *process) Get(ctx context.Context, key tables.Key) (row tables.Row, err error) {
	err = p.store(ctx, func() error {
		row, err = p.world.platform.Tables.Get(ctx, key)
		return err
	})
	return row, err
}

// Scan implements tables.Service.
func (p *process) Scan(ctx context.Context, table, prefix, start string, limit int) (rows []tables.Row, err error) {
	err = p.store(ctx, func() error {
		rows, err = p.world.platform.Tables.Scan(ctx, table, prefix, start, limit)
		return err
	})
	return rows, err
}

// Commit implements tables.Service. Only the holder of the lease changes what
// is sealed.
func (p *process) Commit(ctx context.Context, txn tables.Txn) error {
	return p.store(ctx, func() error {
		err := p.world.platform.Tables.Commit(ctx, txn)
		if err == nil && txn.Writes[0].Key.Table == usagestore.SealedTable {
			p.world.checkHolder(p)
		}
		return err
	})
}

// checkHolder notes a change of what is sealed by a process without the lease.
func (w *world) checkHolder(p *process) {
	row, err := w.platform.Tables.Get(context.Background(), tables.Key{Table: "leases", Row: "usage"})
	if err != nil || !strings.Contains(string(row.Value), strconv.Quote(p.id)) {
		w.intruders++
	}
}

// reporter sends reports as the guarded connection does: the term is checked
// when the bytes leave, and the receiver drops what comes after its idle time.
type reporter struct{ e *entry }

// Report implements usagereport.Reports.
func (r reporter) Report(ctx context.Context, report usagereport.Report) error {
	if err := sealing.MayReport(r.e.keeper, idleClose); err != nil {
		return err
	}
	checked := time.Now()
	if w := r.e.world; w.chance(w.odds.slowReport) {
		w.others(r.e.process, time.Duration(w.random.Int64N(int64(idleClose))))
	}
	return r.e.call(ctx, func() error {
		if time.Since(checked) >= idleClose {
			return errInjected
		}
		if report.Team == r.e.world.refuse {
			return usagereport.ErrRefused
		}
		return r.e.world.platform.Report(ctx, report)
	})
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

// result is what a run of the world showed.
type result struct {
	runs, missing, residue int
	tokenError             int64 // Reported less counted tokens.
	violations             []string
	intruders              int
	left                   int // Batches still in the table.
}

// check compares what was reported with what ran. A run may be missing only if
// both processes that held its record are gone.
func (w *world) check(ctx context.Context) (result, error) {
	sources, err := usagestore.ReadSources(ctx, w.platform.Tables)
	if err != nil {
		return result{}, err
	}
	res := result{runs: len(w.runs), violations: w.platform.ReportViolations(), intruders: w.intruders}
	expected := make(map[string]usage.Figures)
	for _, run := range w.runs {
		source := sources[run.record.Source]
		switch {
		case source != nil && source.Has(run.record.Sequence):
			expected[run.record.Team] = expected[run.record.Team].Plus(run.record.Figures)
		case run.residue:
			res.residue++
		default:
			res.missing++
		}
	}
	reported := w.reportedFigures()
	for team := range expected {
		difference := reported[team].Minus(expected[team])
		res.tokenError += max(difference.Tokens(), -difference.Tokens())
	}
	err = usagestore.Due(ctx, w.platform.Tables, 1<<40, func(usagestore.Stored) error {
		res.left++
		return nil
	})
	return res, err
}

func (w *world) reportedFigures() map[string]usage.Figures {
	type key struct {
		team   string
		window usage.Window
	}
	seen := make(map[key]bool)
	teams := make(map[string]usage.Figures)
	for _, report := range w.platform.Reports() {
		k := key{report.Team, report.Window}
		if !seen[k] {
			seen[k] = true
			teams[report.Team] = teams[report.Team].Plus(report.Figures)
		}
	}
	return teams
}

// requireOwnWindows fails unless every sealed window holds just the runs that
// ended in it.
func (w *world) requireOwnWindows(t require.TestingT) {
	parts, err := usagestore.SealedAfter(context.Background(), w.platform.Tables, "", 1<<20)
	require.NoError(t, err)
	sealed := make(map[usage.Window]usage.Figures)
	for _, part := range parts {
		for _, total := range part.Teams {
			sealed[part.Window] = sealed[part.Window].Plus(total.Figures)
		}
	}
	ended := make(map[usage.Window]usage.Figures)
	for _, run := range w.runs {
		ended[run.record.Window] = ended[run.record.Window].Plus(run.record.Figures)
	}
	require.Equal(t, ended, sealed)
}

// secondsUntilReported steps each second until every run that has ended by now
// is sealed and reported.
func (w *world) secondsUntilReported(t require.TestingT) int {
	last := usage.WindowAt(time.Now(), window)
	for seconds := 1; ; seconds++ {
		require.Less(t, seconds, 3600)
		time.Sleep(time.Second)
		w.step(context.Background())
		progress, _, err := usagestore.ReadProgress(context.Background(), w.platform.Tables)
		require.NoError(t, err)
		parts, err := usagestore.SealedAfter(context.Background(), w.platform.Tables, progress.Reported, 1)
		require.NoError(t, err)
		if progress.Sealed >= last && len(parts) == 0 {
			return seconds
		}
	}
}
