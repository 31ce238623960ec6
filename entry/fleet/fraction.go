package fleet

import "sync"

// fractionDecay is the weight of earlier reports in the moving average of a team's
// fraction.
const fractionDecay = 0.8

// teamFractions holds moving averages of the fraction of each team's requests that
// comes through this entry, as reported by agents.
type teamFractions struct {
	mu       sync.Mutex
	averages map[string]float64
}

func newTeamFractions() *teamFractions {
	return &teamFractions{averages: make(map[string]float64)}
}

// RecordFraction adds an agent's report of a team's fraction.
func (v *View) RecordFraction(team string, fraction float64) {
	if fraction <= 0 {
		return
	}
	f := v.teamFractions
	f.mu.Lock()
	defer f.mu.Unlock()
	average, ok := f.averages[team]
	if !ok {
		if len(f.averages) >= maxTeams {
			clear(f.averages)
		}
		average = fraction
	}
	f.averages[team] = fractionDecay*average + (1-fractionDecay)*fraction
}

// Fraction returns the fraction of a team's requests that comes through this entry.
// Without reports from agents it assumes an equal fraction for each listed entry.
func (v *View) Fraction(team string) float64 {
	f := v.teamFractions
	f.mu.Lock()
	fraction, ok := f.averages[team]
	f.mu.Unlock()
	if ok {
		return fraction
	}
	return 1 / float64(v.Entries())
}
