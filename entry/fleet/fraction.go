package fleet

import "sync"

// fractionKeep is the weight kept by earlier reports of a team's fraction.
const fractionKeep = 0.8

// fractions is which part of each team's requests comes through this entry, as
// agents tell it.
type fractions struct {
	mu     sync.Mutex
	byTeam map[string]float64
}

func newFractions() *fractions {
	return &fractions{byTeam: make(map[string]float64)}
}

// LearnFraction takes an agent's report of a team's fraction.
func (v *View) LearnFraction(team string, fraction float64) {
	if fraction <= 0 {
		return
	}
	f := v.fractions
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.byTeam[team]
	if !ok {
		if len(f.byTeam) >= bookTeams {
			clear(f.byTeam)
		}
		known = fraction
	}
	f.byTeam[team] = fractionKeep*known + (1-fractionKeep)*fraction
}

// Fraction returns which part of a team's requests comes through this entry:
// as agents told it, else an equal part of the listed entries.
func (v *View) Fraction(team string) float64 {
	f := v.fractions
	f.mu.Lock()
	fraction, ok := f.byTeam[team]
	f.mu.Unlock()
	if ok {
		return fraction
	}
	return 1 / float64(v.Entries())
}
