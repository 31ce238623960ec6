package fair

import "math"

const (
	recentHalfLifeSeconds = 10.0  // Half-life of recorded service.
	idleServiceSeconds    = 0.001 // Remaining service below which a team counts as idle.
)

// RecentService tracks exponentially decayed service by team, so that early
// refusals affect teams that received more than their share. The cost of its
// operations does not depend on the number of teams. It is not safe for concurrent
// use.
type RecentService struct {
	teams   map[string]*recentTeam
	total   float64 // Service of all teams, decayed to at.
	at      float64
	weights float64 // Sum of the weights of all teams kept.
	sweepAt int
}

type recentTeam struct {
	service float64
	weight  float64
	at      float64
}

// NewRecentService returns an empty tracker.
func NewRecentService() *RecentService {
	return &RecentService{teams: make(map[string]*recentTeam), sweepAt: firstSweepTeams}
}

// Record adds service that a team received at time now, in seconds.
func (r *RecentService) Record(now float64, name string, weight, service float64) {
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

// OverShare reports whether the recent service of a team exceeds its weighted share
// of the recent service of all active teams.
func (r *RecentService) OverShare(now float64, name string) bool {
	t, known := r.teams[name]
	if !known || r.weights <= 0 {
		return false
	}
	even := r.total * decay(now-r.at) / r.weights
	return t.service*decay(now-t.at)/t.weight > even
}

func decay(seconds float64) float64 { return math.Exp2(-max(0, seconds) / recentHalfLifeSeconds) }

// sweep removes idle teams. The cost is amortised over the teams added since the
// previous sweep.
func (r *RecentService) sweep(now float64) {
	if len(r.teams) < r.sweepAt {
		return
	}
	for name, t := range r.teams {
		if t.service*decay(now-t.at) < idleServiceSeconds {
			r.weights -= t.weight
			delete(r.teams, name)
		}
	}
	r.sweepAt = firstSweepTeams + 2*len(r.teams)
}
