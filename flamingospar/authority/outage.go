package authority

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"flamingospar.org/core/roles"
)

// The simulation runs a pool of engines through a change of the prefill share of
// demand while the store is unavailable.
const (
	outageEngines      = 18
	outageUtilisation  = 0.8 // Fraction of the pool's capacity.
	outageStep         = time.Second
	outageDuration     = 20 * time.Minute
	roleChangeTime     = 8 * time.Second
	viewLagSteps       = 4  // Age of an agent's view of the other engines.
	demandErrorPercent = 10 // Maximum error of an agent's view of the demand.
	outageSeeds        = 20
)

// strategy is one way to decide on roles during an outage.
type strategy struct {
	name string
	// decide returns the role changes to start in step now.
	decide func(p *pool, now int) []roles.Change
}

// outageStrategies returns the decisions of a lease holder while the store is up
// and three strategies for an outage that has lasted longer than a lease term
// when the prefill share begins to change.
func outageStrategies() []strategy {
	return []strategy{
		{name: "lease holder, store up", decide: func(p *pool, now int) []roles.Change { return p.plan(p.prefillShareAt(now), p.engines) }},
		{name: "lease holder only", decide: func(*pool, int) []roles.Change { return nil }},
		{name: "holder's last plan", decide: func(p *pool, _ int) []roles.Change { return p.plan(p.prefillShareAt(0), p.engines) }},
		{name: "agents only", decide: func(p *pool, now int) []roles.Change { return p.planByAgents(now) }},
	}
}

// pool simulates the engines of one model.
type pool struct {
	rng                  *rand.Rand
	engines              []roles.Endpoint
	changeRemaining      []time.Duration // Time until each engine's role change ends.
	history              [][]roles.Endpoint
	changeCount          int
	maxConcurrentChanges int // Most engines that were changing at the same time.
}

func newPool(seed uint64) *pool {
	p := &pool{rng: rand.New(rand.NewPCG(seed, seed)), changeRemaining: make([]time.Duration, outageEngines)}
	for i := range outageEngines {
		role := roles.Output
		if i < int(math.Round(p.prefillShareAt(0)*outageEngines)) {
			role = roles.Prefill
		}
		p.engines = append(p.engines, roles.Endpoint{ID: fmt.Sprintf("engine-%d", i), Role: role, Ready: true, Since: time.Hour})
	}
	return p
}

// prefillShareAt returns the fraction of the demand that is prefill. It moves
// from 25 to 60 per cent in eight minutes and back in the next eight.
func (p *pool) prefillShareAt(step int) float64 {
	period := 16 * time.Minute.Seconds()
	return 0.425 - 0.175*math.Cos(2*math.Pi*float64(step)*outageStep.Seconds()/period)
}

func (p *pool) plan(share float64, engines []roles.Endpoint) []roles.Change {
	settings := roles.Defaults()
	settings.Mode = roles.ModeFollow
	demand := outageUtilisation * outageEngines
	return roles.Decide(roles.Snapshot{
		Pool: "pool", Endpoints: engines,
		PrefillDemand: share * demand, OutputDemand: (1 - share) * demand,
	}, settings).Changes
}

// planByAgents lets each agent decide on its own engine from an outdated view of
// the other engines and an inaccurate view of the demand.
func (p *pool) planByAgents(now int) []roles.Change {
	var changes []roles.Change
	for i := range p.engines {
		view := append([]roles.Endpoint(nil), p.history[max(0, now-viewLagSteps)]...)
		view[i] = p.engines[i]
		demandFactor := 1 + float64(p.rng.IntN(2*demandErrorPercent+1)-demandErrorPercent)/100
		for _, change := range p.plan(p.prefillShareAt(now)*demandFactor, view) {
			if change.Endpoint == p.engines[i].ID {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

// step simulates one step and returns the fraction of the demand that was served.
func (p *pool) step(s strategy, now int) float64 {
	p.history = append(p.history, append([]roles.Endpoint(nil), p.engines...))
	for _, change := range s.decide(p, now) {
		p.startChange(change)
	}
	counts := make(map[roles.Role]float64)
	changing := 0
	for i := range p.engines {
		p.engines[i].Since += outageStep
		if p.changeRemaining[i] > 0 {
			p.changeRemaining[i] -= outageStep
			changing++
			continue
		}
		p.engines[i].Changing = false
		counts[p.engines[i].Role]++
	}
	p.maxConcurrentChanges = max(p.maxConcurrentChanges, changing)
	demand, share := outageUtilisation*outageEngines, p.prefillShareAt(now)
	return min(1, counts[roles.Prefill]/(share*demand), counts[roles.Output]/((1-share)*demand))
}

func (p *pool) startChange(change roles.Change) {
	for i := range p.engines {
		if p.engines[i].ID == change.Endpoint && !p.engines[i].Changing && p.engines[i].Role != change.To {
			p.engines[i].Role, p.engines[i].Changing, p.engines[i].Since = change.To, true, 0
			p.changeRemaining[i] = roleChangeTime
			p.changeCount++
		}
	}
}

// compareOutageStrategies prints the goodput and role changes of each strategy.
func compareOutageStrategies(stdout io.Writer) {
	for _, s := range outageStrategies() {
		goodput, worst, changes, maxConcurrent := 0.0, 1.0, 0, 0
		steps := int(outageDuration / outageStep)
		for seed := range uint64(outageSeeds) {
			p := newPool(seed)
			for now := range steps {
				served := p.step(s, now)
				goodput += served
				worst = min(worst, served)
			}
			changes += p.changeCount
			maxConcurrent = max(maxConcurrent, p.maxConcurrentChanges)
		}
		fmt.Fprintf(stdout, "outage way=%q goodput=%.3f worst_second=%.3f role_changes=%.1f at_once=%d\n",
			s.name, goodput/float64(steps*outageSeeds), worst, float64(changes)/outageSeeds, maxConcurrent)
	}
}
