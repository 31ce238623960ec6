package teamshare

import (
	"math"
	"slices"
	"time"

	"flamingospar.org/core/decay"
)

// totals are the sums of all processes at a time, and the fair level that follows.
type totals struct {
	at              time.Time
	teams           map[string]Demand
	asked, admitted float64
	level           float64
	reports         int
	oldest          time.Duration
}

// standing returns the standing of a team, decayed from the time of the totals.
func (t *totals) standing(now time.Time, team string) Standing {
	left := decay.Remaining(now.Sub(t.at), HalfLife)
	demand := t.teams[team]
	standing := Standing{
		Asked: demand.Asked * left, Admitted: demand.Admitted * left, Level: t.level * left,
		Shortage: shortage(t.asked, t.admitted), Reports: t.reports, OldestReport: t.oldest,
	}
	standing.Over = demand.Admitted > t.level*(1+overTolerance)
	return standing
}

// addDemand adds the demand of a team at one process.
func (t *totals) addDemand(team string, asked, admitted float64) {
	sum := t.teams[team]
	sum.Asked += asked
	sum.Admitted += admitted
	t.teams[team] = sum
	t.asked += asked
	t.admitted += admitted
}

// fairLevel returns the level for the teams of the totals, infinite without a shortage.
func (t *totals) fairLevel() float64 {
	if !isShort(t.asked, t.admitted) {
		return math.Inf(1)
	}
	asked := make([]float64, 0, len(t.teams))
	for _, demand := range t.teams {
		asked = append(asked, demand.Asked)
	}
	return FairLevel(asked, t.admitted)
}

// FairLevel returns the max-min fair level: that at which the sum of min(asked, level) is
// admitted. It is infinite if less was asked than admitted. It sorts asked.
func FairLevel(asked []float64, admitted float64) float64 {
	slices.Sort(asked)
	left := admitted
	for i, work := range asked {
		teams := float64(len(asked) - i)
		if work*teams >= left {
			return left / teams
		}
		left -= work
	}
	return math.Inf(1)
}

// shortage returns the part of the asked work that was not admitted.
func shortage(asked, admitted float64) float64 {
	if asked <= 0 {
		return 0
	}
	return max(1-admitted/asked, 0)
}

// isShort reports whether enough of the asked work was not admitted for a shortage.
func isShort(asked, admitted float64) bool { return shortage(asked, admitted) > minShortage }
