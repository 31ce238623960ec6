// Package experiment compares policies in a discrete-event simulation. It runs the
// decision code of core on seeded loads in virtual time, with simulated engines.
package experiment

import (
	"math"
	"math/rand/v2"

	"flamingospar.org/core/roles"
)

// controlIntervalSeconds is the interval of role decisions.
const controlIntervalSeconds = 1.0

// drainSeconds is the time after the end of a trace for requests to finish.
const drainSeconds = 60.0

// demandHalfLifeSeconds is the half-life of the exponentially decayed demand.
const demandHalfLifeSeconds = 5.0

// demandDecayPerSecond is the decay rate; multiplied by it, a decayed sum becomes a
// rate.
const demandDecayPerSecond = math.Ln2 / demandHalfLifeSeconds

// maxRoleAgeSeconds limits the age of a role, which is infinite until the first change.
const maxRoleAgeSeconds = 1e6

// routingStream is the second seed word of the random numbers of routing.
const routingStream = 0xc0de

// progress is the state of a request during a run.
type progress struct {
	engine                *engine
	runCount              int // Number of runs, used in run IDs.
	attempts              int
	tried                 map[string]bool
	predictedOutputTokens float64
	sentAt                float64
	expectedWaitSeconds   float64 // Estimated at sentAt.
	kvExported            bool    // The prefill is done and the KV cache can be imported.
	emittedTokens         int
	firstTokenAt          float64
	lastTokenAt           float64
	longGaps              int
	ended                 bool // Refused, abandoned or done.
	done                  bool
	observeGap            func(gap float64)
}

func (r *request) recordToken(now float64) {
	switch {
	case r.emittedTokens == 0:
		r.firstTokenAt = now
	default:
		gap := now - r.lastTokenAt
		if gap > maxTokenGapSeconds {
			r.longGaps++
		}
		r.observeGap(gap)
	}
	r.emittedTokens++
	r.lastTokenAt = now
	if r.emittedTokens == r.outputTokens {
		r.done, r.ended = true, true
	}
}

// sim simulates a policy on a trace.
type sim struct {
	clock
	fleet         simFleet
	trace         Trace
	policy        Policy
	requests      []*request
	engines       []*engine
	entries       []*entry
	indexOf       map[string]int
	random        *rand.Rand
	result        *Result
	demand        []demand // By model.
	storeDown     bool
	scalers       []*scaler // By model; nil for a fixed fleet.
	servedSeconds float64   // Engine seconds that count as endpoint hours.
}

// demand is the recent work offered to a model, as an exponentially decayed sum of
// engine seconds.
type demand struct {
	prefill float64
	output  float64
}

// run simulates a policy on the requests of a trace.
func run(f simFleet, t Trace, p Policy, seed uint64, requests []*request) *Result {
	m := &sim{
		fleet:    f,
		trace:    t,
		policy:   p,
		requests: requests,
		indexOf:  make(map[string]int),
		random:   rand.New(rand.NewPCG(seed, routingStream)),
		result:   newResult(p.Name),
		demand:   make([]demand, len(f.models)),
	}
	m.addEngines()
	m.setInitialRoles()
	for i := range f.dataCentres {
		m.entries = append(m.entries, newEntry(m, i))
	}
	for i, e := range m.entries {
		m.after(pollIntervalSeconds*float64(i+1)/float64(len(m.entries)), e.poll)
	}
	m.scheduleArrival(0)
	if p.targetUtilisation > 0 {
		for model := range f.models {
			m.scalers = append(m.scalers, newScaler(m, model, p.targetUtilisation))
			m.scalers[model].start()
		}
	}
	m.scheduleFaults()
	m.after(controlIntervalSeconds, m.control)
	m.clock.run(t.Seconds + t.maxDeadline() + drainSeconds)
	m.result.endpointHours = m.servedSeconds / 3600
	m.result.collect(m)
	return m.result
}

func (m *sim) addEngines() {
	names := make([]string, len(m.fleet.teams))
	for i, team := range m.fleet.teams {
		names[i] = team.Name
	}
	for i, endpoint := range m.fleet.engines {
		e := &engine{sim: m, id: endpoint.ID, index: i, dataCentre: endpoint.DataCentre, teamNames: names, role: roles.Mixed, slowdown: 1, roleSince: math.Inf(-1)}
		for model, name := range m.fleet.models {
			if name == endpoint.Model {
				e.model = model
			}
		}
		e.reset()
		m.indexOf[e.id] = i
		m.engines = append(m.engines, e)
	}
}

// scheduleArrival schedules an arrival, which schedules the one after it.
func (m *sim) scheduleArrival(next int) {
	if next == len(m.requests) {
		return
	}
	r := m.requests[next]
	m.after(r.arrival+callerLatencySeconds-m.now, func() {
		m.scheduleArrival(next + 1)
		m.arrive(r)
	})
}

func (m *sim) arrive(r *request) {
	d := &m.demand[r.model]
	d.prefill += float64(r.promptTokens-r.prefixTokens) * promptSeconds
	d.output += float64(r.outputTokens) * outputSeconds
	if m.scalers != nil {
		m.scalers[r.model].offeredWork += r.work(r.prefix != 0)
	}
	r.observeGap = m.result.tokenGaps.add
	if !r.batch {
		m.after(callerTimeoutSeconds, func() { m.abandon(r) })
	}
	m.entries[r.entry].dispatch(r)
}

// abandon ends a request whose caller timed out before the first token.
func (m *sim) abandon(r *request) {
	if r.ended || r.emittedTokens > 0 {
		return
	}
	r.ended = true
	m.result.abandoned++
	if r.engine != nil {
		r.engine.cancel(r)
	}
}

// control decides the roles of each pool at each controlIntervalSeconds. Role
// decisions don't need the store and continue during a store outage.
func (m *sim) control() {
	for _, e := range m.engines {
		if !e.removed && m.now <= m.trace.Seconds {
			m.servedSeconds += controlIntervalSeconds
		}
	}
	decay := math.Exp2(-controlIntervalSeconds / demandHalfLifeSeconds)
	for model := range m.fleet.models {
		m.applyRoles(model)
		m.demand[model].prefill *= decay
		m.demand[model].output *= decay
	}
	m.after(controlIntervalSeconds, m.control)
}

func (m *sim) applyRoles(model int) {
	plan := roles.Decide(m.snapshot(model), m.roleSettings())
	for _, change := range plan.Changes {
		m.engines[m.indexOf[change.Endpoint]].changeRole(change.To)
	}
}

func (m *sim) roleSettings() roles.Settings {
	settings := roles.Defaults()
	settings.Mode = m.policy.roles
	_, settings.StaticShare = m.trace.loadAt(0)
	return settings
}

func (m *sim) snapshot(model int) roles.Snapshot {
	snapshot := roles.Snapshot{
		Pool:          m.fleet.models[model],
		PrefillDemand: m.demand[model].prefill * demandDecayPerSecond,
		OutputDemand:  m.demand[model].output * demandDecayPerSecond,
	}
	for _, e := range m.engines {
		if e.model != model {
			continue
		}
		snapshot.Endpoints = append(snapshot.Endpoints, roles.Endpoint{
			ID:       e.id,
			Role:     e.role,
			Changing: e.changingRole,
			Since:    toDuration(min(m.now-e.roleSince, maxRoleAgeSeconds)),
			Ready:    e.inService() && !e.draining,
		})
	}
	return snapshot
}

// setInitialRoles sets the roles of the engines at the start of a run.
func (m *sim) setInitialRoles() {
	settings := m.roleSettings()
	if settings.Mode == roles.ModeMixed || settings.Mode == roles.ModeHybrid {
		return
	}
	settings.Mode = roles.ModeStatic
	settings.MaxConcurrent = 1
	for model := range m.fleet.models {
		plan := roles.Decide(m.snapshot(model), settings)
		for _, change := range plan.Changes {
			e := m.engines[m.indexOf[change.Endpoint]]
			e.role = change.To
			e.reset()
		}
	}
}
