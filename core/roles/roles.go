// Package roles decides which engines process prompts, which generate output
// and which do both, as the mix of the two kinds of work shifts. The decision
// is a pure function of a snapshot, so that every process that holds the same
// snapshot reaches the same plan without a leader.
package roles

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Role is what an engine does.
type Role string

// The roles.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Output  Role = "output"
)

// Mode selects how roles are used.
type Mode string

// The modes.
const (
	// ModeMixed runs all engines mixed; the plan repairs any other role.
	ModeMixed Mode = "mixed"
	// ModeStatic keeps a fixed share of prefill engines.
	ModeStatic Mode = "static"
	// ModeFollow moves engines between prefill and output with the demand.
	ModeFollow Mode = "follow"
	// ModeHybrid keeps engines mixed and gives the role of prefill to as many
	// as the mixed ones lack for the prompts.
	ModeHybrid Mode = "hybrid"
)

// Settings bound the changes.
type Settings struct {
	Mode          Mode          `toml:"mode"`
	StaticShare   float64       `toml:"static_share"`   // Of prefill engines, in ModeStatic.
	Deadband      float64       `toml:"deadband"`       // In engines, beyond rounding.
	MinDwell      time.Duration `toml:"-"`              // Between two changes of one engine.
	MaxConcurrent float64       `toml:"max_concurrent"` // Share of a pool that may change at once.
	StaleAfter    time.Duration `toml:"-"`              // Demand older than this moves nothing.

	// In ModeHybrid, the part of its time that an engine can give to prompts:
	// a mixed one, and one in the role of prefill.
	MixedPrompts   float64 `toml:"mixed_prompts"`
	PrefillPrompts float64 `toml:"prefill_prompts"`
	Headroom       float64 `toml:"headroom"` // Factor on the prompts' demand.
}

// Defaults returns the settings in use.
func Defaults() Settings {
	return Settings{
		Mode:          ModeMixed,
		StaticShare:   0.4,
		Deadband:      0.5,
		MinDwell:      45 * time.Second,
		MaxConcurrent: 0.15,
		StaleAfter:    10 * time.Second,

		MixedPrompts:   0.5,
		PrefillPrompts: 0.87,
		Headroom:       1.15,
	}
}

// Endpoint is an engine of one pool, as last heard.
type Endpoint struct {
	ID       string
	Role     Role
	Changing bool          // Out of service for a change now.
	Since    time.Duration // Since its last change.
	Ready    bool          // Reachable and not leaving.
}

// Snapshot is a pool: the engines of one model in one data centre or, for a
// small fleet, in all of them.
type Snapshot struct {
	Pool      string
	Endpoints []Endpoint
	// Demand is the work offered lately, in engines kept busy.
	PrefillDemand float64
	OutputDemand  float64
	DemandAge     time.Duration
}

// Reason says why a plan is as it is.
type Reason string

// The reasons.
const (
	ReasonNone     Reason = "none"     // The roles fit the demand.
	ReasonStale    Reason = "stale"    // The demand is too old to act on.
	ReasonDeadband Reason = "deadband" // The gain is below the deadband.
	ReasonDwell    Reason = "dwell"    // No engine may change yet.
	ReasonBusy     Reason = "busy"     // As many change as may at once.
	ReasonFollow   Reason = "follow"   // Engines follow the demand.
)

// Change is an order for one engine.
type Change struct {
	Endpoint string
	From, To Role
}

// Plan is the decision for one pool.
type Plan struct {
	Changes       []Change // To order now, at most the bound.
	WantedPrefill int      // Engines, once all changes are done.
	Reason        Reason
}

// minSplit is the smallest pool that is split between roles.
const minSplit = 2

// Decide returns the changes to order now.
func Decide(s Snapshot, settings Settings) Plan {
	ready := readyEndpoints(s.Endpoints)
	if settings.Mode == ModeMixed || len(ready) < minSplit {
		return planMixed(s.Pool, ready, settings)
	}
	if settings.Mode != ModeStatic && s.DemandAge > settings.StaleAfter {
		return Plan{Reason: ReasonStale, WantedPrefill: count(ready, Prefill)}
	}
	wanted := wantedPrefill(s, len(ready), settings)
	current := count(ready, Prefill)
	least, rest := 1.0, Output
	if settings.Mode == ModeHybrid {
		least, rest = 0, Mixed
	}
	whole := int(math.Round(min(max(wanted, least), float64(len(ready)-1))))
	assigned := count(ready, Prefill)+count(ready, rest) == len(ready)
	if assigned && math.Abs(wanted-float64(current)) < 0.5+settings.Deadband {
		return Plan{Reason: reasonWithin(whole, current), WantedPrefill: current}
	}
	return planSplit(s.Pool, ready, whole, rest, settings)
}

func reasonWithin(whole, current int) Reason {
	if whole == current {
		return ReasonNone
	}
	return ReasonDeadband
}

func wantedPrefill(s Snapshot, engines int, settings Settings) float64 {
	if settings.Mode == ModeHybrid {
		lacking := s.PrefillDemand*settings.Headroom - settings.MixedPrompts*float64(engines)
		return max(0, lacking/(settings.PrefillPrompts-settings.MixedPrompts))
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
		if len(plan.Changes) >= allowed(ready, settings) {
			plan.Reason = ReasonBusy
			break
		}
		plan.Changes = append(plan.Changes, Change{Endpoint: endpoint.ID, From: endpoint.Role, To: Mixed})
		plan.Reason = ReasonFollow
	}
	return plan
}

func planSplit(pool string, ready []Endpoint, wanted int, rest Role, settings Settings) Plan {
	plan := Plan{WantedPrefill: wanted, Reason: ReasonNone}
	room := allowed(ready, settings)
	targets := assign(pool, ready, wanted, rest)
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
		if len(plan.Changes) >= room {
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

// assign gives the role of prefill to the wanted number of engines: those that
// have it first, then by rank, so that few engines change.
func assign(pool string, ready []Endpoint, wanted int, rest Role) map[string]Role {
	ranked := byRank(pool, ready)
	slices.SortStableFunc(ranked, func(a, b Endpoint) int {
		return cmp.Compare(prefillFirst(a.Role), prefillFirst(b.Role))
	})
	targets := make(map[string]Role, len(ranked))
	for i, endpoint := range ranked {
		targets[endpoint.ID] = rest
		if i < wanted {
			targets[endpoint.ID] = Prefill
		}
	}
	return targets
}

func prefillFirst(role Role) int {
	switch role {
	case Prefill:
		return 0
	case Mixed:
		return 1
	default:
		return 2
	}
}

// allowed returns how many more engines may begin a change now.
func allowed(ready []Endpoint, settings Settings) int {
	bound := max(1, int(settings.MaxConcurrent*float64(len(ready))))
	changing := 0
	for _, endpoint := range ready {
		if endpoint.Changing {
			changing++
		}
	}
	return max(0, bound-changing)
}

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

// byRank orders engines by a hash that all processes compute alike.
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
