package authority

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"flamingospar.org/core/roles"
)

// A pool of engines goes through a swing of the prompt share while the store
// does not answer.
const (
	outageEngines = 18
	outageLoad    = 0.8 // Of what the pool can do.
	outageStep    = time.Second
	outageLasts   = 20 * time.Minute
	changeTakes   = 8 * time.Second
	viewLag       = 4  // Steps by which an agent's view of the others lags.
	viewError     = 10 // Per cent by which an agent's view of the demand is off.
	outageSeeds   = 20
)

// way is one way to decide on roles in an outage.
type way struct {
	name string
	// decide returns the engines that change now.
	decide func(p *pool, now int) []roles.Change
}

// outageWays are what a holder does while the store is up, and the three ways in
// an outage that has lasted longer than a term when the swing begins.
func outageWays() []way {
	return []way{
		{name: "lease holder, store up", decide: func(p *pool, now int) []roles.Change { return p.plan(p.shareAt(now), p.engines) }},
		{name: "lease holder only", decide: func(*pool, int) []roles.Change { return nil }},
		{name: "holder's last plan", decide: func(p *pool, _ int) []roles.Change { return p.plan(p.shareAt(0), p.engines) }},
		{name: "agents only", decide: func(p *pool, now int) []roles.Change { return p.byAgents(now) }},
	}
}

// pool is the engines of one model.
type pool struct {
	rand    *rand.Rand
	engines []roles.Endpoint
	left    []time.Duration // Of an engine's change.
	history [][]roles.Endpoint
	changes int
	most    int // Engines that changed at the same time.
}

func newPool(seed uint64) *pool {
	p := &pool{rand: rand.New(rand.NewPCG(seed, seed)), left: make([]time.Duration, outageEngines)}
	for i := range outageEngines {
		role := roles.Output
		if i < int(math.Round(p.shareAt(0)*outageEngines)) {
			role = roles.Prefill
		}
		p.engines = append(p.engines, roles.Endpoint{ID: fmt.Sprintf("engine-%d", i), Role: role, Ready: true, Since: time.Hour})
	}
	return p
}

// shareAt is the part of the demand that is prefill: it moves between 25 and
// 60 per cent in eight minutes.
func (p *pool) shareAt(step int) float64 {
	period := 16 * time.Minute.Seconds()
	return 0.425 - 0.175*math.Cos(2*math.Pi*float64(step)*outageStep.Seconds()/period)
}

func (p *pool) plan(share float64, engines []roles.Endpoint) []roles.Change {
	settings := roles.Defaults()
	settings.Mode = roles.ModeFollow
	demand := outageLoad * outageEngines
	return roles.Decide(roles.Snapshot{
		Pool: "pool", Endpoints: engines,
		PrefillDemand: share * demand, OutputDemand: (1 - share) * demand,
	}, settings).Changes
}

// byAgents lets each agent decide on its own engine, by a view of the others
// that lags and a demand that is off.
func (p *pool) byAgents(now int) []roles.Change {
	var decided []roles.Change
	for i := range p.engines {
		view := append([]roles.Endpoint(nil), p.history[max(0, now-viewLag)]...)
		view[i] = p.engines[i]
		off := 1 + float64(p.rand.IntN(2*viewError+1)-viewError)/100
		for _, change := range p.plan(p.shareAt(now)*off, view) {
			if change.Endpoint == p.engines[i].ID {
				decided = append(decided, change)
			}
		}
	}
	return decided
}

// step advances by one step and returns the part of the demand that was served.
func (p *pool) step(w way, now int) float64 {
	p.history = append(p.history, append([]roles.Endpoint(nil), p.engines...))
	for _, change := range w.decide(p, now) {
		p.begin(change)
	}
	counts := make(map[roles.Role]float64)
	changing := 0
	for i := range p.engines {
		p.engines[i].Since += outageStep
		if p.left[i] > 0 {
			p.left[i] -= outageStep
			changing++
			continue
		}
		p.engines[i].Changing = false
		counts[p.engines[i].Role]++
	}
	p.most = max(p.most, changing)
	demand, share := outageLoad*outageEngines, p.shareAt(now)
	return min(1, counts[roles.Prefill]/(share*demand), counts[roles.Output]/((1-share)*demand))
}

func (p *pool) begin(change roles.Change) {
	for i := range p.engines {
		if p.engines[i].ID == change.Endpoint && !p.engines[i].Changing && p.engines[i].Role != change.To {
			p.engines[i].Role, p.engines[i].Changing, p.engines[i].Since = change.To, true, 0
			p.left[i] = changeTakes
			p.changes++
		}
	}
}

// compareOutage prints goodput and role changes of each way.
func compareOutage(stdout io.Writer) {
	for _, w := range outageWays() {
		goodput, worst, changes, most := 0.0, 1.0, 0, 0
		steps := int(outageLasts / outageStep)
		for seed := range uint64(outageSeeds) {
			p := newPool(seed)
			for now := range steps {
				served := p.step(w, now)
				goodput += served
				worst = min(worst, served)
			}
			changes += p.changes
			most = max(most, p.most)
		}
		fmt.Fprintf(stdout, "outage way=%q goodput=%.3f worst_second=%.3f role_changes=%.1f at_once=%d\n",
			w.name, goodput/float64(steps*outageSeeds), worst, float64(changes)/outageSeeds, most)
	}
}
