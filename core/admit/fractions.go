package admit

import (
	"math"
	"time"
)

// fractionHalfLife is how fast an observed fraction follows a change.
const fractionHalfLife = 10 * time.Second

// Fractions observes at an endpoint which part of each team's requests comes
// through which entry, so that entries can divide a team's limits without a
// shared store. It remembers a bounded number of teams.
type Fractions struct {
	limit int
	teams map[string]*origins
}

type origins struct {
	at    time.Duration
	total float64
	from  map[string]float64 // By entry.
}

// NewFractions returns an observer of at most limit teams.
func NewFractions(limit int) *Fractions {
	return &Fractions{limit: limit, teams: make(map[string]*origins)}
}

// Observe counts a request and returns the fraction of the team's requests
// that came through this entry lately, this one included.
func (f *Fractions) Observe(now time.Duration, team, entry string) float64 {
	o := f.origins(now, team)
	o.decay(now)
	o.total++
	o.from[entry]++
	return o.from[entry] / o.total
}

func (f *Fractions) origins(now time.Duration, team string) *origins {
	if o, ok := f.teams[team]; ok {
		return o
	}
	if len(f.teams) >= f.limit {
		for forgotten := range f.teams {
			delete(f.teams, forgotten)
			break
		}
	}
	o := &origins{at: now, from: make(map[string]float64)}
	f.teams[team] = o
	return o
}

// negligible is the weight below which an entry is forgotten.
const negligible = 0.01

func (o *origins) decay(now time.Duration) {
	factor := math.Exp2(-max(0, (now-o.at).Seconds()) / fractionHalfLife.Seconds())
	o.at = now
	o.total = 0
	for entry, weight := range o.from {
		weight *= factor
		if weight < negligible {
			delete(o.from, entry)
			continue
		}
		o.from[entry] = weight
		o.total += weight
	}
}
