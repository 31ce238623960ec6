// Package capacity decides how many endpoints of a pool each data centre should
// have. Ordered endpoints arrive minutes later, so the decision uses the demand
// expected at their arrival, and it shrinks the pool slowly.
package capacity

import (
	"math"
	"slices"
	"time"
)

// Settings are the parameters of the decision.
type Settings struct {
	Utilisation float64       `toml:"utilisation"` // Target utilisation of an endpoint.
	LeadTime    time.Duration `toml:"-"`           // Time from an order to the arrival of the endpoint.
	ShrinkAfter time.Duration `toml:"-"`           // Time for which demand must have been low before shrinking.
	MaxShrink   int           `toml:"max_shrink"`  // Maximum number of endpoints released by one decision.
	Spare       int           `toml:"spare"`       // Endpoints beyond the target, in reserve for failures.
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Utilisation: 0.7,
		LeadTime:    4 * time.Minute,
		ShrinkAfter: 5 * time.Minute,
		MaxShrink:   1,
		Spare:       0,
	}
}

// DataCentre is the part of a pool that is in one data centre.
type DataCentre struct {
	Name    string
	Ready   int // Endpoints in service.
	Ordered int // Ordered but not yet arrived.
	Leaving int // Being withdrawn by the platform; still in service.
	Min     int // Minimum set by operators.
	Max     int // Limit of the platform; 0 if none.
}

// Snapshot is the state of a pool. Demand is measured in endpoints kept busy.
type Snapshot struct {
	DataCentres []DataCentre
	Demand      float64 // Current offered demand, including refused requests.
	Trend       float64 // Change of the demand per second, over the last samples.
	Peak        float64 // Highest demand during ShrinkAfter.
	RefusedWork float64 // Part of Demand that was refused for lack of capacity.
	DemandAge   time.Duration
	ObservedFor time.Duration // How long demand has been sampled; Peak covers no more than this.
}

// Reason explains a target.
type Reason string

const (
	ReasonHold   Reason = "hold"   // The number of endpoints fits the demand.
	ReasonGrow   Reason = "grow"   // The demand expected after the lead time needs more.
	ReasonShrink Reason = "shrink" // The demand has been low for ShrinkAfter.
	ReasonStale  Reason = "stale"  // The demand is older than maxDemandAge.
	ReasonFull   Reason = "full"   // The limits of the data centres allow no more.
)

// maxDemandAge is the age above which demand is too old to change the targets.
const maxDemandAge = time.Minute

// Plan is a decision. Targets are absolute numbers of endpoints by data centre, not
// increments.
type Plan struct {
	Targets  map[string]int
	Wanted   int // Total over all data centres, before their limits.
	Reason   Reason
	OneMore  float64 // Demand that one more endpoint would serve now.
	OneFewer float64 // Demand that would be left unserved now with one endpoint fewer.
}

// Decide returns the target of each data centre.
func Decide(s Snapshot, settings Settings) Plan {
	current := total(s.DataCentres)
	plan := Plan{Wanted: current, Reason: ReasonHold}
	ready := readyCount(s.DataCentres)
	plan.OneMore = min(1, max(0, s.Demand-settings.Utilisation*float64(ready)))
	plan.OneFewer = min(1, max(0, s.Demand-settings.Utilisation*float64(ready-1)))
	if s.DemandAge > maxDemandAge {
		plan.Reason = ReasonStale
		plan.Targets = distribute(s.DataCentres, current)
		return plan
	}
	need := needed(s.Demand+max(0, s.Trend)*settings.LeadTime.Seconds(), settings)
	floor := needed(max(s.Demand, s.Peak), settings)
	switch {
	case need > current:
		plan.Wanted = need
		plan.Reason = ReasonGrow
	case floor < current && s.ObservedFor >= settings.ShrinkAfter:
		plan.Wanted = max(floor, current-settings.MaxShrink)
		plan.Reason = ReasonShrink
	}
	plan.Targets = distribute(s.DataCentres, plan.Wanted)
	if sum(plan.Targets) < plan.Wanted {
		plan.Reason = ReasonFull
	}
	return plan
}

// ceilTolerance keeps floating-point rounding errors from adding an endpoint.
const ceilTolerance = 1e-9

// needed returns the number of endpoints for a demand at the target utilisation,
// with the spare ones.
func needed(demand float64, settings Settings) int {
	return int(math.Ceil(demand/settings.Utilisation-ceilTolerance)) + settings.Spare
}

// distribute divides the wanted endpoints over the data centres as evenly as their
// limits allow. Ties go to the data centre with more endpoints, so that existing
// endpoints stay where possible.
func distribute(centres []DataCentre, wanted int) map[string]int {
	targets := make(map[string]int, len(centres))
	left := wanted
	for _, centre := range centres {
		targets[centre.Name] = centre.Min
		left -= centre.Min
	}
	ordered := slices.Clone(centres)
	slices.SortStableFunc(ordered, func(a, b DataCentre) int { return remaining(b) - remaining(a) })
	for left > 0 {
		best := lowestBelowMax(ordered, targets)
		if best < 0 {
			break
		}
		targets[ordered[best].Name]++
		left--
	}
	return targets
}

// lowestBelowMax returns the index of the data centre with the lowest target among
// those below their limit, or -1 if there is none.
func lowestBelowMax(centres []DataCentre, targets map[string]int) int {
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

// remaining returns the number of endpoints after orders have arrived and leaving
// endpoints are gone.
func remaining(centre DataCentre) int { return centre.Ready + centre.Ordered - centre.Leaving }

func total(centres []DataCentre) int {
	n := 0
	for _, centre := range centres {
		n += remaining(centre)
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
