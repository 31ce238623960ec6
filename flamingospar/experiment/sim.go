// Package experiment runs the decisions of core over seeded loads on virtual
// time, with the engine stand-in, and compares policies.
package experiment

import (
	"math"
	"math/rand/v2"

	"flamingospar.org/core/roles"
)

// controlSeconds is the time between two looks at the roles.
const controlSeconds = 1.0

// settleSeconds is the time after a trace's end in which answers are awaited.
const settleSeconds = 60.0

// demandHalfLife is how fast the observed demand follows a change, in seconds.
const demandHalfLife = 5.0

// demandRate turns a decayed sum into a rate.
const demandRate = math.Ln2 / demandHalfLife

// progress is what became of a request.
type progress struct {
	engine     *engine
	sends      int // Runs begun for it.
	attempts   int
	tried      map[string]bool
	predicted  float64 // Output tokens.
	sentAt     float64
	expected   float64 // Wait, when sent.
	handed     bool    // Its KV cache was exported.
	emitted    int
	firstAt    float64
	lastAt     float64
	longGaps   int
	over       bool // Refused, abandoned or done.
	done       bool
	gapObserve func(gap float64)
}

func (r *request) token(now float64) {
	switch {
	case r.emitted == 0:
		r.firstAt = now
	default:
		gap := now - r.lastAt
		if gap > tokenGapSeconds {
			r.longGaps++
		}
		r.gapObserve(gap)
	}
	r.emitted++
	r.lastAt = now
	if r.emitted == r.output {
		r.done, r.over = true, true
	}
}

// sim is one run of one policy over one trace.
type sim struct {
	clock
	site      site
	trace     Trace
	policy    Policy
	requests  []*request
	engines   []*engine
	entries   []*entry
	indexOf   map[string]int
	random    *rand.Rand
	result    *Result
	demand    []demand // By model.
	storeDown bool
	scalers   []*scaler // By model; none when the fleet is fixed.
	serving   float64   // Engine seconds in service.
}

// demand is the work offered to a model lately, in engines.
type demand struct {
	prefill float64
	output  float64
}

// run simulates a policy over the requests of a trace.
func run(s site, t Trace, p Policy, seed uint64, requests []*request) *Result {
	m := &sim{
		site:     s,
		trace:    t,
		policy:   p,
		requests: requests,
		indexOf:  make(map[string]int),
		random:   rand.New(rand.NewPCG(seed, 0xc0de)),
		result:   newResult(p.Name),
		demand:   make([]demand, len(s.models)),
	}
	m.addEngines()
	m.firstRoles()
	for i := range s.dataCentres {
		m.entries = append(m.entries, newEntry(m, i))
	}
	for i, e := range m.entries {
		m.after(pollSeconds*float64(i+1)/float64(len(m.entries)), e.poll)
	}
	m.planArrival(0)
	if p.scale > 0 {
		for model := range s.models {
			m.scalers = append(m.scalers, newScaler(m, model, p.scale))
			m.scalers[model].begin()
		}
	}
	m.planFaults()
	m.after(controlSeconds, m.control)
	m.clock.run(t.Seconds + t.longestDeadline() + settleSeconds)
	m.result.endpointHours = m.serving / 3600
	m.result.collect(m)
	return m.result
}

func (m *sim) addEngines() {
	names := make([]string, len(m.site.teams))
	for i, team := range m.site.teams {
		names[i] = team.Name
	}
	for i, described := range m.site.engines {
		e := &engine{sim: m, id: described.ID, index: i, dataCentre: described.DataCentre, team: names, role: roles.Mixed, slowdown: 1, since: math.Inf(-1)}
		for model, name := range m.site.models {
			if name == described.Model {
				e.model = model
			}
		}
		e.reset()
		m.indexOf[e.id] = i
		m.engines = append(m.engines, e)
	}
}

// planArrival plans the next arrival, which plans the one after it.
func (m *sim) planArrival(next int) {
	if next == len(m.requests) {
		return
	}
	r := m.requests[next]
	m.after(r.arrival+callerSeconds-m.now, func() {
		m.planArrival(next + 1)
		m.arrive(r)
	})
}

func (m *sim) arrive(r *request) {
	d := &m.demand[r.model]
	d.prefill += float64(r.prompt-r.prefixTokens) * promptSeconds
	d.output += float64(r.output) * outputSeconds
	if m.scalers != nil {
		m.scalers[r.model].work += r.work(r.prefix != 0)
	}
	r.gapObserve = m.result.gaps.add
	if !r.batch {
		m.after(patienceSeconds, func() { m.abandon(r) })
	}
	m.entries[r.entry].dispatch(r)
}

// abandon ends a request whose caller has waited too long for a first token.
func (m *sim) abandon(r *request) {
	if r.over || r.emitted > 0 {
		return
	}
	r.over = true
	m.result.abandoned++
	if r.engine != nil {
		r.engine.cancel(r)
	}
}

// control looks at the roles of each pool, once a second. The rule needs no
// store, so that an outage of the store changes nothing.
func (m *sim) control() {
	for _, e := range m.engines {
		if !e.gone && m.now <= m.trace.Seconds {
			m.serving += controlSeconds
		}
	}
	decay := math.Exp2(-controlSeconds / demandHalfLife)
	for model := range m.site.models {
		m.applyRoles(model)
		m.demand[model].prefill *= decay
		m.demand[model].output *= decay
	}
	m.after(controlSeconds, m.control)
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
	_, settings.StaticShare = m.trace.at(0)
	return settings
}

func (m *sim) snapshot(model int) roles.Snapshot {
	snapshot := roles.Snapshot{
		Pool:          m.site.models[model],
		PrefillDemand: m.demand[model].prefill * demandRate,
		OutputDemand:  m.demand[model].output * demandRate,
	}
	for _, e := range m.engines {
		if e.model != model {
			continue
		}
		snapshot.Endpoints = append(snapshot.Endpoints, roles.Endpoint{
			ID:       e.id,
			Role:     e.role,
			Changing: e.changing,
			Since:    span(min(m.now-e.since, 1e6)),
			Ready:    e.inService() && !e.leaving,
		})
	}
	return snapshot
}

// firstRoles sets the roles with which the fleet begins.
func (m *sim) firstRoles() {
	settings := m.roleSettings()
	if settings.Mode == roles.ModeMixed || settings.Mode == roles.ModeHybrid {
		return
	}
	settings.Mode = roles.ModeStatic
	settings.MaxConcurrent = 1
	for model := range m.site.models {
		plan := roles.Decide(m.snapshot(model), settings)
		for _, change := range plan.Changes {
			e := m.engines[m.indexOf[change.Endpoint]]
			e.role = change.To
			e.reset()
		}
	}
}
