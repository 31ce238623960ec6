package experiment

import (
	"fmt"
	"slices"
	"time"

	"flamingospar.org/core/admit"
	"flamingospar.org/core/fair"
	"flamingospar.org/core/roles"
	"flamingospar.org/standin/engine/batch"
)

// Speeds of engines beside their batch.
const (
	changeSeconds    = 4.0    // Out of service for a role change.
	exportSeconds    = 0.005  // To begin a transfer of a KV cache.
	exportPerToken   = 4e-6   // Seconds for each token of it.
	prefillOnlyRate  = 17_000 // Prompt tokens a second of an engine that only processes prompts.
	prefillOnlyAhead = 2048   // Prompt tokens given to such an engine ahead of need.
	unbounded        = 1 << 20
	cacheTokens      = 200_000
)

// engine is an engine with its agent.
type engine struct {
	sim        *sim
	id         string
	index      int
	dataCentre string
	model      int
	team       []string

	batch    *batch.Batch
	gate     *admit.Gate
	prefixes *admit.Prefixes
	runs     map[string]*request
	stepping bool
	epoch    int // Raised by a crash, so that the step under way has no effect.

	role     roles.Role
	out      bool // Not in service: changing, crashed or gone.
	changing bool
	leaving  bool
	gone     bool
	since    float64 // Of the last role change.
	slowdown float64
	skew     float64 // Of the agent's clock, in seconds.

	reports  string // The fault of its reports, if any.
	lastLoad admit.Load
}

func (e *engine) reset() {
	e.batch = batch.New(engineConfig)
	e.batch.SetRole(batch.Role(e.role))
	e.batch.SetSlowdown(e.slowdown)
	e.prefixes = admit.NewPrefixes(cacheTokens)
	e.runs = make(map[string]*request)
	e.resetGate()
}

func (e *engine) resetGate() {
	e.gate = admit.NewGate(e.gateSettings())
}

func (e *engine) gateSettings() admit.GateSettings {
	settings := admit.DefaultGateSettings()
	settings.ShortestFirst = e.sim.policy.shortFirst
	if e.role == roles.Prefill {
		settings.PromptRate = prefillOnlyRate
		settings.EngineBacklog = prefillOnlyAhead
	}
	if e.sim.policy.firstCome {
		settings.FIFO = true
		settings.EngineBacklog = unbounded
		settings.MaxWaiting = unbounded
		settings.TokenInterval = 0
		settings.UrgentSlotFraction = 0
	}
	return settings
}

func (e *engine) inService() bool { return !e.out && !e.gone }

// accept takes a run from an entry, or refuses it.
func (e *engine) accept(r *request) {
	if !e.inService() || e.leaving {
		e.refuse(r, admit.Decision{Reason: admit.NoEndpointInTime})
		return
	}
	id := runID(r)
	e.runs[id] = r
	e.giveUp(e.gate.Add(e.now(), e.describe(r, id)))
	e.pump()
}

func runID(r *request) string { return fmt.Sprintf("%d/%d", r.id, r.sends) }

func (e *engine) describe(r *request, id string) admit.Run {
	run := admit.Run{
		ID:           id,
		Team:         e.team[r.team],
		Weight:       e.sim.site.teams[r.team].Weight,
		OutputTokens: r.predicted,
	}
	if r.batch {
		run.Class = fair.NumClasses - 1
	}
	if r.handed {
		return run
	}
	cached := e.prefixes.Use(r.prefix, float64(r.prefixTokens))
	run.PromptTokens = max(1, float64(r.prompt+r.emitted)-cached)
	if !r.batch && r.emitted == 0 {
		run.HasDeadline = true
		run.FirstTokenDeadline = e.now() + span(r.arrival+firstTokenAtEngine-e.sim.now)
	}
	return run
}

func (e *engine) giveUp(refused []admit.Refused) {
	for _, given := range refused {
		r := e.runs[given.ID]
		delete(e.runs, given.ID)
		e.refuse(r, given.Decision)
	}
}

func (e *engine) refuse(r *request, decision admit.Decision) {
	entry := e.sim.entries[r.entry]
	load := e.load()
	e.sim.after(hopSeconds, func() { entry.refused(e, r, decision, load) })
}

// pump gives the engine what its gate lets go.
func (e *engine) pump() {
	for {
		id, ok, refused := e.gate.Next(e.now())
		e.giveUp(refused)
		if !ok {
			break
		}
		r := e.runs[id]
		e.batch.Add(batch.Run{
			ID:           id,
			Prefix:       r.prefix,
			PrefixTokens: r.prefixTokens,
			PromptTokens: r.prompt,
			OutputTokens: r.output,
			Skip:         r.emitted,
			Imported:     r.handed,
		})
	}
	if !e.stepping && !e.batch.Idle() {
		e.step()
	}
}

func (e *engine) step() {
	e.stepping = true
	epoch := e.epoch
	took, emissions := e.batch.Step()
	e.sim.after(took.Seconds(), func() {
		if e.epoch != epoch {
			return
		}
		e.stepping = false
		for _, emission := range emissions {
			e.emit(emission)
		}
		e.pump()
	})
}

func (e *engine) emit(emission batch.Emission) {
	r, ok := e.runs[emission.ID]
	if !ok {
		return
	}
	e.gate.Tokens(e.now(), emission.ID, 1)
	first := r.emitted == 0
	r.token(e.sim.now)
	entry := e.sim.entries[r.entry]
	switch {
	case emission.Last:
		e.finish(emission.ID)
		load := e.load()
		e.sim.after(hopSeconds, func() { entry.finished(e, r, load) })
	case emission.HandOver:
		e.finish(emission.ID)
		e.handOver(r)
	case first:
		load := e.load()
		e.sim.after(hopSeconds, func() { entry.firstToken(e, r, load) })
	}
}

func (e *engine) finish(id string) {
	e.gate.Finish(id)
	delete(e.runs, id)
}

// handOver exports a run's KV cache and lets its entry choose who imports it.
func (e *engine) handOver(r *request) {
	entry := e.sim.entries[r.entry]
	transfer := exportSeconds + exportPerToken*float64(r.prompt+r.emitted)
	load := e.load()
	e.sim.after(transfer, func() { entry.handedOver(e, r, load) })
}

// cancel takes a run out whose caller has left.
func (e *engine) cancel(r *request) {
	id := runID(r)
	if _, ok := e.runs[id]; !ok {
		return
	}
	if !e.gate.Cancel(id) {
		e.gate.Finish(id)
	}
	e.batch.Cancel(id)
	delete(e.runs, id)
}

// vacate ends all work here without cutting an answer: running answers are
// handed over, the rest goes back as not run.
func (e *engine) vacate() {
	ids := e.heldIDs()
	for _, id := range ids {
		r := e.runs[id]
		if r.emitted > 0 {
			e.handOver(r)
		} else {
			e.refuse(r, admit.Decision{Reason: admit.NoEndpointInTime})
		}
	}
	e.epoch++
	e.stepping = false
	e.reset()
}

// crash loses all work here.
func (e *engine) crash() {
	for _, id := range e.heldIDs() {
		r := e.runs[id]
		entry := e.sim.entries[r.entry]
		e.sim.after(hopSeconds, func() { entry.crashed(e, r) })
	}
	e.epoch++
	e.stepping = false
	e.reset()
}

func (e *engine) heldIDs() []string {
	ids := make([]string, 0, len(e.runs))
	for id := range e.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// changeRole takes the engine out of service, empties it and brings it back in
// the new role.
func (e *engine) changeRole(to roles.Role) {
	e.out, e.changing = true, true
	e.vacate()
	e.sim.result.roleChanges++
	e.sim.after(changeSeconds, func() {
		e.out, e.changing = false, false
		e.role = to
		e.since = e.sim.now
		e.reset()
	})
}

// load is the engine's report, with the faults that it may have.
func (e *engine) load() admit.Load {
	switch e.reports {
	case faultStuck:
		return e.lastLoad
	case faultLying:
		return admit.Load{MaxRunning: engineConfig.MaxRunning, PromptRate: e.gate.Load().PromptRate}
	}
	e.lastLoad = e.gate.Load()
	return e.lastLoad
}

// now is the time on the agent's clock.
func (e *engine) now() time.Duration { return span(e.sim.now + e.skew) }

func span(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
