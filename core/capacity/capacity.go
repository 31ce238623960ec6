// Package capacity decides how many endpoints of a pool each data centre
// should have. Ordered endpoints arrive minutes later, so the decision looks
// at the demand expected on arrival, and it shrinks slowly.
package capacity

import (
	"math"
	"slices"
	"time"
)

// Settings bound the decision.
type Settings struct {
	Utilisation float64       `toml:"utilisation"` // Of an endpoint at its target.
	Lead        time.Duration `toml:"-"`           // From an order to its arrival.
	ShrinkAfter time.Duration `toml:"-"`           // Demand must have been low for so long.
	MaxShrink   int           `toml:"max_shrink"`  // Endpoints given back in one decision.
	Spare       int           `toml:"spare"`       // Endpoints beyond the target, against a failure.
}

// Defaults returns the settings in use.
func Defaults() Settings {
	return Settings{
		Utilisation: 0.7,
		Lead:        4 * time.Minute,
		ShrinkAfter: 5 * time.Minute,
		MaxShrink:   1,
		Spare:       0,
	}
}

// DataCentre is one data centre's part of a pool.
type DataCentre struct {
	Name    string
	Ready   int // Endpoints in service.
	Ordered int // Ordered and not arrived.
	Leaving int // Withdrawn by the platform; still in service.
	Min     int // At least so many, as operators ask.
	Max     int // The platform's limit; 0: none.
}

// Snapshot is a pool. Demands are in endpoints kept busy.
type Snapshot struct {
	DataCentres []DataCentre
	Demand      float64 // Offered now, with what is refused.
	Trend       float64 // Change of the demand a second, over minutes.
	Peak        float64 // Highest demand over ShrinkAfter.
	RefusedWork float64 // Part of Demand refused for want of capacity.
	DemandAge   time.Duration
	Observed    time.Duration // How long the demand was followed; it bounds what Peak says.
}

// Reason says why a target is as it is.
type Reason string

// The reasons.
const (
	ReasonHold   Reason = "hold"   // The fleet fits.
	ReasonGrow   Reason = "grow"   // The demand on arrival needs more.
	ReasonShrink Reason = "shrink" // The demand was low for long.
	ReasonStale  Reason = "stale"  // The demand is too old to act on.
	ReasonFull   Reason = "full"   // The platform gives no more.
)

// staleAfter is the age from which a demand moves nothing.
const staleAfter = time.Minute

// Plan is the decision. Targets are numbers of endpoints, not increments.
type Plan struct {
	Targets  map[string]int
	Wanted   int // In all data centres.
	Reason   Reason
	OneMore  float64 // Work that one more endpoint would serve now.
	OneFewer float64 // Work that one endpoint less would leave unserved now.
}

// Decide returns the target of each data centre.
func Decide(s Snapshot, settings Settings) Plan {
	current := total(s.DataCentres)
	plan := Plan{Wanted: current, Reason: ReasonHold}
	ready := readyCount(s.DataCentres)
	plan.OneMore = min(1, max(0, s.Demand-settings.Utilisation*float64(ready)))
	plan.OneFewer = min(1, max(0, s.Demand-settings.Utilisation*float64(ready-1)))
	if s.DemandAge > staleAfter {
		plan.Reason = ReasonStale
		plan.Targets = spread(s.DataCentres, current)
		return plan
	}
	need := needed(s.Demand+max(0, s.Trend)*settings.Lead.Seconds(), settings)
	floor := needed(max(s.Demand, s.Peak), settings)
	switch {
	case need > current:
		plan.Wanted = need
		plan.Reason = ReasonGrow
	case floor < current && s.Observed >= settings.ShrinkAfter:
		plan.Wanted = max(floor, current-settings.MaxShrink)
		plan.Reason = ReasonShrink
	}
	plan.Targets = spread(s.DataCentres, plan.Wanted)
	if sum(plan.Targets) < plan.Wanted {
		plan.Reason = ReasonFull
	}
	return plan
}

func needed(demand float64, settings Settings) int {
	return int(math.Ceil(demand/settings.Utilisation-1e-9)) + settings.Spare
}

// spread divides wanted endpoints over the data centres as evenly as their
// limits allow. Endpoints in place stay where the division allows it.
func spread(centres []DataCentre, wanted int) map[string]int {
	targets := make(map[string]int, len(centres))
	left := wanted
	for _, centre := range centres {
		targets[centre.Name] = centre.Min
		left -= centre.Min
	}
	ordered := slices.Clone(centres)
	slices.SortStableFunc(ordered, func(a, b DataCentre) int { return held(b) - held(a) })
	for left > 0 {
		best := lowest(ordered, targets)
		if best < 0 {
			break
		}
		targets[ordered[best].Name]++
		left--
	}
	return targets
}

// lowest returns the data centre with the lowest target below its limit, or -1.
func lowest(centres []DataCentre, targets map[string]int) int {
	best := -1
	for i, centre := range centres {
		if centre.Max > 0 && targets[centre.Name] >= centre.Max {
			continue
		}
		if best < 0 || targets[centre.Name] < targets[centres[best].Name] {
			best = i
		}
	}
	return best
}

// held counts the endpoints that will still be there.
func held(centre DataCentre) int { return centre.Ready + centre.Ordered - centre.Leaving }

func total(centres []DataCentre) int {
	n := 0
	for _, centre := range centres {
		n += held(centre)
	}
	return n
}

func readyCount(centres []DataCentre) int {
	n := 0
	for _, centre := range centres {
		n += centre.Ready
	}
	return n
}

func sum(targets map[string]int) int {
	n := 0
	for _, target := range targets {
		n += target
	}
	return n
}
