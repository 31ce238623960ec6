package route

// Filter drops candidates that can't serve the request: those for which Keep
// returns false.
type Filter struct {
	Name string
	Keep func(Request, Candidate) bool
}

// Scorer assigns a candidate a cost in seconds; lower is better.
type Scorer struct {
	Name string
	Cost func(Request, Candidate) float64
}

// Parameters of the scorers. The costs add to the expected time to first token.
const (
	remoteCostSeconds     = 0.010 // Endpoint is in another data centre than the entry process.
	fullLoadCostSeconds   = 0.320 // All slots occupied; scaled linearly with occupancy.
	noFreeSlotCostSeconds = 1.0   // Added when no slot is free and the run would queue.
	defaultSlots          = 64    // Slots assumed for an endpoint that reports no limit.
	batchJoinCostSeconds  = 0.010 // Wait for the current step of a busy endpoint to end.
	maxJitterSeconds      = 0.004 // Largest random cost; keeps entry processes from choosing in lockstep.
)

var filters = []Filter{
	{Name: "ready", Keep: func(_ Request, c Candidate) bool { return c.Ready }},
	{Name: "kind", Keep: func(r Request, c Candidate) bool { return c.Kind == r.Kind }},
	{Name: "model", Keep: func(r Request, c Candidate) bool { return r.Model == "" || c.Model == r.Model }},
	{Name: "role", Keep: keepRole},
	{Name: "tried", Keep: func(r Request, c Candidate) bool { return !r.Avoid[c.Endpoint] }},
}

var scorers = []Scorer{
	{Name: "load", Cost: loadCost},
	{Name: "distance", Cost: distanceCost},
	{Name: "jitter", Cost: jitter},
}

func keepRole(r Request, c Candidate) bool {
	if r.PrefillDone {
		return c.Role != Prefill
	}
	return c.Role != Output
}

// expectedWait returns the expected time to first token in seconds, or 0 if the
// endpoint's rate is unknown. A cached prefix does not have to be processed.
func expectedWait(r Request, c Candidate, cached bool) float64 {
	if c.Backlog.PromptRate <= 0 {
		return 0
	}
	prompt := r.PromptTokens
	if cached {
		prompt -= r.PrefixTokens
	}
	if r.PrefillDone {
		prompt = 0
	}
	return (c.Backlog.tokensAt(r.Now) + prompt) / c.Backlog.PromptRate
}

// loadCost returns the cost of sharing the endpoint with its other runs.
func loadCost(_ Request, c Candidate) float64 {
	runs := max(c.Outstanding, c.Running) + c.Queued
	slots := c.MaxRunning
	if slots <= 0 {
		slots = defaultSlots
	}
	cost := fullLoadCostSeconds * float64(runs) / float64(slots)
	if runs > 0 {
		cost += batchJoinCostSeconds
	}
	if !c.hasFreeSlot() {
		cost += noFreeSlotCostSeconds
	}
	return cost
}

func distanceCost(r Request, c Candidate) float64 {
	if c.DataCentre == r.DataCentre {
		return 0
	}
	return remoteCostSeconds
}

func jitter(r Request, c Candidate) float64 {
	if r.Seed == 0 {
		return 0
	}
	const resolution = 1 << 20
	return maxJitterSeconds * float64(mix(r.Seed^c.Hash)%resolution) / resolution
}
