package admit

import (
	"math"
	"time"
)

// fractionHalfLife is the half-life of observed requests.
const fractionHalfLife = 10 * time.Second

// Fractions tracks at an endpoint which fraction of each team's requests arrives
// through which entry process, so that entry processes can divide a team's limits
// without a shared store. It keeps a bounded number of teams and is not safe for
// concurrent use.
type Fractions struct {
	limit int
	teams map[string]*teamOrigins
}

// teamOrigins holds the decayed request counts of one team.
type teamOrigins struct {
	updatedAt time.Duration
	total     float64
	byEntry   map[string]float64 // Decayed request count by entry process.
}

// NewFractions returns a tracker of at most limit teams.
func NewFractions(limit int) *Fractions {
	return &Fractions{limit: limit, teams: make(map[string]*teamOrigins)}
}

// Observe records a request and returns the fraction of the team's recent requests,
// including this one, that came through this entry process.
func (f *Fractions) Observe(now time.Duration, team, entry string) float64 {
	o := f.teamOrigins(now, team)
	o.decay(now)
	o.total++
	o.byEntry[entry]++
	return o.byEntry[entry] / o.total
}

func (f *Fractions) teamOrigins(now time.Duration, team string) *teamOrigins {
	if o, ok := f.teams[team]; ok {
		return o
	}
	if len(f.teams) >= f.limit {
		for forgotten := range f.teams {
			delete(f.teams, forgotten)
			break
		}
	}
	o := &teamOrigins{updatedAt: now, byEntry: make(map[string]float64)}
	f.teams[team] = o
	return o
}

// minEntryWeight is the decayed request count below which an entry process is
// removed.
const minEntryWeight = 0.01

func (o *teamOrigins) decay(now time.Duration) {
	factor := math.Exp2(-max(0, (now-o.updatedAt).Seconds()) / fractionHalfLife.Seconds())
	o.updatedAt = now
	o.total = 0
	for entry, weight := range o.byEntry {
		weight *= factor
		if weight < minEntryWeight {
			delete(o.byEntry, entry)
			continue
		}
		o.byEntry[entry] = weight
		o.total += weight
	}
}
