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

// Parameters of the simulated engine in addition to batch.Config.
const (
	roleChangeSeconds        = 4.0    // Time out of service during a role change.
	exportSetupSeconds       = 0.005  // Fixed time of a KV cache transfer.
	exportSecondsPerToken    = 4e-6   // Transfer time per token of KV cache.
	prefillOnlyTokensPerSec  = 17_000 // Prefill rate of an engine in the prefill role.
	prefillOnlyBacklogTokens = 2048   // Prompt tokens queued on such an engine.
	unbounded                = 1 << 20
	prefixCacheTokens        = 200_000
)

// engine simulates an engine and its agent.
type engine struct {
	sim        *sim
	id         string
	index      int
	dataCentre string
	model      int
	teamNames  []string

	batch    *batch.Batch
	gate     *admit.Gate
	prefixes *admit.Prefixes
	runs     map[string]*request
	stepping bool
	epoch    int // Incremented by a crash or an evacuation, to discard the step in progress.

	role         roles.Role
	unavailable  bool // During a role change or a restart after a crash.
	changingRole bool
	draining     bool
	removed      bool
	roleSince    float64 // Time of the last role change.
	slowdown     float64
	clockSkew    float64 // Offset of the agent's clock in seconds.

	reportFault string // Kind of the current fault of its load reports, or empty.
	lastLoad    admit.Load
}

func (e *engine) reset() {
	e.batch = batch.New(engineConfig)
	e.batch.SetRole(batch.Role(e.role))
	e.batch.SetSlowdown(e.slowdown)
	e.prefixes = admit.NewPrefixes(prefixCacheTokens)
	e.runs = make(map[string]*request)
	e.resetGate()
}

func (e *engine) resetGate() {
	e.gate = admit.NewGate(e.gateSettings())
}

func (e *engine) gateSettings() admit.GateSettings {
	settings := admit.DefaultGateSettings()
	settings.ShortestFirst = e.sim.policy.shortestFirst
	if e.role == roles.Prefill {
		settings.PromptRate = prefillOnlyTokensPerSec
		settings.EngineBacklog = prefillOnlyBacklogTokens
	}
	if e.sim.policy.fifo {
		settings.FIFO = true
		settings.EngineBacklog = unbounded
		settings.MaxWaiting = unbounded
		settings.TokenInterval = 0
		settings.UrgentSlotFraction = 0
	}
	return settings
}

func (e *engine) inService() bool { return !e.unavailable && !e.removed }

// accept queues a run sent by an entry or refuses it.
func (e *engine) accept(r *request) {
	if !e.inService() || e.draining {
		e.refuse(r, admit.Decision{Reason: admit.NoEndpointInTime})
		return
	}
	id := runID(r)
	e.runs[id] = r
	e.refuseAll(e.gate.Add(e.now(), e.gateRun(r, id)))
	e.startRuns()
}

func runID(r *request) string { return fmt.Sprintf("%d/%d", r.id, r.runCount) }

// gateRun returns the request as the gate schedules it.
func (e *engine) gateRun(r *request, id string) admit.Run {
	run := admit.Run{
		ID:           id,
		Team:         e.teamNames[r.team],
		Weight:       e.sim.fleet.teams[r.team].Weight,
		OutputTokens: r.predictedOutputTokens,
	}
	if r.batch {
		run.Class = fair.NumClasses - 1
	}
	if r.kvExported {
		return run
	}
	cached := e.prefixes.Use(r.prefix, float64(r.prefixTokens))
	run.PromptTokens = max(1, float64(r.promptTokens+r.emittedTokens)-cached)
	if !r.batch && r.emittedTokens == 0 {
		run.HasDeadline = true
		run.FirstTokenDeadline = e.now() + toDuration(r.arrival+engineFirstTokenDeadlineSeconds-e.sim.now)
	}
	return run
}

func (e *engine) refuseAll(refused []admit.Refused) {
	for _, refusal := range refused {
		r := e.runs[refusal.ID]
		delete(e.runs, refusal.ID)
		e.refuse(r, refusal.Decision)
	}
}

func (e *engine) refuse(r *request, decision admit.Decision) {
	entry := e.sim.entries[r.entry]
	load := e.load()
	e.sim.after(agentLatencySeconds, func() { entry.refused(e, r, decision, load) })
}

// startRuns starts the runs that the gate admits to the engine.
func (e *engine) startRuns() {
	for {
		id, ok, refused := e.gate.Next(e.now())
		e.refuseAll(refused)
		if !ok {
			break
		}
		r := e.runs[id]
		e.batch.Add(batch.Run{
			ID:           id,
			Prefix:       r.prefix,
			PrefixTokens: r.prefixTokens,
			PromptTokens: r.promptTokens,
			OutputTokens: r.outputTokens,
			ResumeTokens: r.emittedTokens,
			KVImported:   r.kvExported,
		})
	}
	if !e.stepping && !e.batch.Idle() {
		e.step()
	}
}

func (e *engine) step() {
	e.stepping = true
	epoch := e.epoch
	duration, emissions := e.batch.Step()
	e.sim.after(duration.Seconds(), func() {
		if e.epoch != epoch {
			return
		}
		e.stepping = false
		for _, emission := range emissions {
			e.emit(emission)
		}
		e.startRuns()
	})
}

func (e *engine) emit(emission batch.Emission) {
	r, ok := e.runs[emission.ID]
	if !ok {
		return
	}
	e.gate.Tokens(e.now(), emission.ID, 1)
	first := r.emittedTokens == 0
	r.recordToken(e.sim.now)
	entry := e.sim.entries[r.entry]
	switch {
	case emission.Last:
		e.finish(emission.ID)
		load := e.load()
		e.sim.after(agentLatencySeconds, func() { entry.finished(e, r, load) })
	case emission.HandOver:
		e.finish(emission.ID)
		e.handOver(r)
	case first:
		load := e.load()
		e.sim.after(agentLatencySeconds, func() { entry.firstToken(e, r, load) })
	}
}

func (e *engine) finish(id string) {
	e.gate.Finish(id)
	delete(e.runs, id)
}

// handOver exports a run's KV cache; the entry then chooses the engine that
// imports it.
func (e *engine) handOver(r *request) {
	entry := e.sim.entries[r.entry]
	transferSeconds := exportSetupSeconds + exportSecondsPerToken*float64(r.promptTokens+r.emittedTokens)
	load := e.load()
	e.sim.after(transferSeconds, func() { entry.handedOver(e, r, load) })
}

// cancel removes the run of a caller that has disconnected.
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

// evacuate removes all work without interrupting a response: runs that have
// produced tokens are handed over, others are refused as not run.
func (e *engine) evacuate() {
	ids := e.sortedRunIDs()
	for _, id := range ids {
		r := e.runs[id]
		if r.emittedTokens > 0 {
			e.handOver(r)
		} else {
			e.refuse(r, admit.Decision{Reason: admit.NoEndpointInTime})
		}
	}
	e.epoch++
	e.stepping = false
	e.reset()
}

// crash loses all work of the engine.
func (e *engine) crash() {
	for _, id := range e.sortedRunIDs() {
		r := e.runs[id]
		entry := e.sim.entries[r.entry]
		e.sim.after(agentLatencySeconds, func() { entry.crashed(e, r) })
	}
	e.epoch++
	e.stepping = false
	e.reset()
}

func (e *engine) sortedRunIDs() []string {
	ids := make([]string, 0, len(e.runs))
	for id := range e.runs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// changeRole takes the engine out of service, evacuates it and returns it to
// service in the new role.
func (e *engine) changeRole(to roles.Role) {
	e.unavailable, e.changingRole = true, true
	e.evacuate()
	e.sim.result.roleChanges++
	e.sim.after(roleChangeSeconds, func() {
		e.unavailable, e.changingRole = false, false
		e.role = to
		e.roleSince = e.sim.now
		e.reset()
	})
}

// load returns the engine's load report, altered by a report fault if there is one.
func (e *engine) load() admit.Load {
	switch e.reportFault {
	case faultStuckReports:
		return e.lastLoad
	case faultIdleReports:
		return admit.Load{MaxRunning: engineConfig.MaxRunning, PromptRate: e.gate.Load().PromptRate}
	}
	e.lastLoad = e.gate.Load()
	return e.lastLoad
}

// now returns the time of the agent's clock.
func (e *engine) now() time.Duration { return toDuration(e.sim.now + e.clockSkew) }

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
