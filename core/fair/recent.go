package fair

import "math"

// Bounds of what counts as recent.
const (
	recentHalfLife = 10.0  // Seconds.
	negligible     = 0.001 // Seconds of service, below which a team is idle.
)

// Recent compares the service that teams were given lately, so that an early
// refusal falls on those who have more than their share. Its cost does not
// grow with the teams. It is not safe for concurrent use.
type Recent struct {
	teams   map[string]*recentTeam
	total   float64 // Service of all teams, as of at.
	at      float64
	weights float64 // Of all teams remembered.
	sweepAt int
}

type recentTeam struct {
	service float64
	weight  float64
	at      float64
}

// NewRecent returns an empty comparison.
func NewRecent() *Recent {
	return &Recent{teams: make(map[string]*recentTeam), sweepAt: firstSweep}
}

// Serve counts service that a team was given at a time, in seconds.
func (r *Recent) Serve(now float64, name string, weight, service float64) {
	if weight <= 0 {
		weight = 1
	}
	t, known := r.teams[name]
	if !known {
		r.sweep(now)
		t = &recentTeam{at: now}
		r.teams[name] = t
	}
	r.weights += weight - t.weight
	t.weight = weight
	t.service = t.service*decay(now-t.at) + service
	t.at = now
	r.total = r.total*decay(now-r.at) + service
	r.at = now
}

// Over reports whether a team has more than an even share by weight of what
// all active teams were given lately.
func (r *Recent) Over(now float64, name string) bool {
	t, known := r.teams[name]
	if !known || r.weights <= 0 {
		return false
	}
	even := r.total * decay(now-r.at) / r.weights
	return t.service*decay(now-t.at)/t.weight > even
}

func decay(seconds float64) float64 { return math.Exp2(-max(0, seconds) / recentHalfLife) }

// sweep drops idle teams. Its cost is amortised over the teams added since.
func (r *Recent) sweep(now float64) {
	if len(r.teams) < r.sweepAt {
		return
	}
	for name, t := range r.teams {
		if t.service*decay(now-t.at) < negligible {
			r.weights -= t.weight
			delete(r.teams, name)
		}
	}
	r.sweepAt = firstSweep + 2*len(r.teams)
}
