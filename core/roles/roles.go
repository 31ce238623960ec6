// Package roles decides which engines process prompts, which generate output and
// which do both, as the ratio of the two kinds of work changes. The decision is a
// pure function of a snapshot, so that all processes with the same snapshot reach
// the same plan without a leader.
package roles

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Role is the kind of work that an engine does.
type Role string

// The roles.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Output  Role = "output"
)

// Mode selects how roles are assigned.
type Mode string

// The modes.
const (
	// ModeMixed makes all engines mixed and changes back any other role.
	ModeMixed Mode = "mixed"
	// ModeStatic keeps a fixed share of prefill engines.
	ModeStatic Mode = "static"
	// ModeFollow moves engines between prefill and output as the demand changes.
	ModeFollow Mode = "follow"
	// ModeHybrid keeps engines mixed, and makes as many of them prefill engines as
	// are needed for the prompt demand that the mixed ones can't serve.
	ModeHybrid Mode = "hybrid"
)

// Settings controls the assignment of roles and bounds the changes.
type Settings struct {
	Mode          Mode          `toml:"mode"`
	StaticShare   float64       `toml:"static_share"`   // Share of prefill engines in ModeStatic.
	Deadband      float64       `toml:"deadband"`       // Number of engines beyond rounding by which the demand must differ.
	MinDwell      time.Duration `toml:"-"`              // Minimum time between two changes of one engine.
	MaxConcurrent float64       `toml:"max_concurrent"` // Share of a pool that may change at the same time.
	StaleAfter    time.Duration `toml:"-"`              // Age above which the demand is not acted on.

	// The shares of its time that a mixed engine and a prefill engine can spend on
	// prompts, in ModeHybrid.
	MixedPromptShare   float64 `toml:"mixed_prompts"`
	PrefillPromptShare float64 `toml:"prefill_prompts"`
	Headroom           float64 `toml:"headroom"` // Factor applied to the prompt demand in ModeHybrid.
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Mode:          ModeMixed,
		StaticShare:   0.4,
		Deadband:      0.5,
		MinDwell:      45 * time.Second,
		MaxConcurrent: 0.15,
		StaleAfter:    10 * time.Second,

		MixedPromptShare:   0.5,
		PrefillPromptShare: 0.87,
		Headroom:           1.15,
	}
}

// Endpoint is the last known state of an engine in a pool.
type Endpoint struct {
	ID       string
	Role     Role
	Changing bool          // Out of service for a change of role.
	Since    time.Duration // Time since its last change of role.
	Ready    bool          // Reachable and not being removed.
}

// Snapshot is the state of a pool: the engines of one model in one data centre or,
// for a small fleet, in all data centres.
type Snapshot struct {
	Pool      string
	Endpoints []Endpoint
	// The demand is the recently offered work, as the number of engines that it would
	// keep busy.
	PrefillDemand float64
	OutputDemand  float64
	DemandAge     time.Duration
}

// Reason explains a plan.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = "none"     // The roles fit the demand.
	ReasonStale    Reason = "stale"    // The demand is too old to act on.
	ReasonDeadband Reason = "deadband" // The gain is below the deadband.
	ReasonDwell    Reason = "dwell"    // Engines are within their minimum dwell time.
	ReasonBusy     Reason = "busy"     // The bound on simultaneous changes is reached.
	ReasonFollow   Reason = "follow"   // Engines follow the demand.
)

// Change is an order to one engine to change its role.
type Change struct {
	Endpoint string
	From, To Role
}

// Plan is the decision for one pool.
type Plan struct {
	Changes       []Change // To order now, within the bound on simultaneous changes.
	WantedPrefill int      // Number of prefill engines after all changes.
	Reason        Reason
}

// minSplitEngines is the smallest pool that is split between roles.
const minSplitEngines = 2

// Decide returns the changes to order now.
func Decide(s Snapshot, settings Settings) Plan {
	ready := readyEndpoints(s.Endpoints)
	if settings.Mode == ModeMixed || len(ready) < minSplitEngines {
		return planMixed(s.Pool, ready, settings)
	}
	if settings.Mode != ModeStatic && s.DemandAge > settings.StaleAfter {
		return Plan{Reason: ReasonStale, WantedPrefill: count(ready, Prefill)}
	}
	wanted := wantedPrefill(s, len(ready), settings)
	current := count(ready, Prefill)
	minPrefill, otherRole := 1.0, Output
	if settings.Mode == ModeHybrid {
		minPrefill, otherRole = 0, Mixed
	}
	rounded := int(math.Round(min(max(wanted, minPrefill), float64(len(ready)-1))))
	assigned := count(ready, Prefill)+count(ready, otherRole) == len(ready)
	if assigned && math.Abs(wanted-float64(current)) < 0.5+settings.Deadband {
		return Plan{Reason: reasonUnchanged(rounded, current), WantedPrefill: current}
	}
	return planSplit(s.Pool, ready, rounded, otherRole, settings)
}

func reasonUnchanged(rounded, current int) Reason {
	if rounded == current {
		return ReasonNone
	}
	return ReasonDeadband
}

func wantedPrefill(s Snapshot, engines int, settings Settings) float64 {
	if settings.Mode == ModeHybrid {
		lacking := s.PrefillDemand*settings.Headroom - settings.MixedPromptShare*float64(engines)
		return max(0, lacking/(settings.PrefillPromptShare-settings.MixedPromptShare))
	}
	total := s.PrefillDemand + s.OutputDemand
	if settings.Mode == ModeStatic || total <= 0 {
		return settings.StaticShare * float64(engines)
	}
	return s.PrefillDemand / total * float64(engines)
}

func planMixed(pool string, ready []Endpoint, settings Settings) Plan {
	plan := Plan{Reason: ReasonNone}
	for _, endpoint := range byRank(pool, ready) {
		if endpoint.Role == Mixed || endpoint.Changing {
			continue
		}
		if len(plan.Changes) >= changesAllowed(ready, settings) {
			plan.Reason = ReasonBusy
			break
		}
		plan.Changes = append(plan.Changes, Change{Endpoint: endpoint.ID, From: endpoint.Role, To: Mixed})
		plan.Reason = ReasonFollow
	}
	return plan
}

func planSplit(pool string, ready []Endpoint, wanted int, otherRole Role, settings Settings) Plan {
	plan := Plan{WantedPrefill: wanted, Reason: ReasonNone}
	available := changesAllowed(ready, settings)
	targets := assign(pool, ready, wanted, otherRole)
	blocked := ReasonNone
	for _, endpoint := range byRank(pool, ready) {
		target := targets[endpoint.ID]
		if endpoint.Role == target || endpoint.Changing {
			continue
		}
		if endpoint.Since < settings.MinDwell {
			blocked = ReasonDwell
			continue
		}
		if len(plan.Changes) >= available {
			blocked = ReasonBusy
			break
		}
		plan.Changes = append(plan.Changes, Change{Endpoint: endpoint.ID, From: endpoint.Role, To: target})
	}
	switch {
	case len(plan.Changes) > 0:
		plan.Reason = ReasonFollow
	default:
		plan.Reason = blocked
	}
	return plan
}

// assign makes the wanted number of engines prefill engines: first those that
// already are, then mixed ones, each by rank, so that few engines change.
func assign(pool string, ready []Endpoint, wanted int, otherRole Role) map[string]Role {
	ranked := byRank(pool, ready)
	slices.SortStableFunc(ranked, func(a, b Endpoint) int {
		return cmp.Compare(assignOrder(a.Role), assignOrder(b.Role))
	})
	targets := make(map[string]Role, len(ranked))
	for i, endpoint := range ranked {
		targets[endpoint.ID] = otherRole
		if i < wanted {
			targets[endpoint.ID] = Prefill
		}
	}
	return targets
}

func assignOrder(role Role) int {
	switch role {
	case Prefill:
		return 0
	case Mixed:
		return 1
	default:
		return 2
	}
}

// changesAllowed returns the number of further engines that may start a change now.
func changesAllowed(ready []Endpoint, settings Settings) int {
	bound := max(1, int(settings.MaxConcurrent*float64(len(ready))))
	changing := 0
	for _, endpoint := range ready {
		if endpoint.Changing {
			changing++
		}
	}
	return max(0, bound-changing)
}

// readyEndpoints returns the endpoints that are ready or changing their role.
func readyEndpoints(all []Endpoint) []Endpoint {
	var ready []Endpoint
	for _, endpoint := range all {
		if endpoint.Ready || endpoint.Changing {
			ready = append(ready, endpoint)
		}
	}
	return ready
}

func count(endpoints []Endpoint, role Role) int {
	n := 0
	for _, endpoint := range endpoints {
		if endpoint.Role == role {
			n++
		}
	}
	return n
}

// byRank sorts engines by a hash, so that all processes use the same order.
func byRank(pool string, endpoints []Endpoint) []Endpoint {
	type ranked struct {
		rank     uint64
		endpoint Endpoint
	}
	order := make([]ranked, 0, len(endpoints))
	for _, endpoint := range endpoints {
		order = append(order, ranked{rank(pool, endpoint.ID), endpoint})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
	sorted := make([]Endpoint, 0, len(order))
	for _, r := range order {
		sorted = append(sorted, r.endpoint)
	}
	return sorted
}

func rank(pool, id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(pool))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(id))
	return hash.Sum64()
}
