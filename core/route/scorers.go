package route

// Filter reports whether a candidate can serve the request.
type Filter struct {
	Name string
	Keep func(Request, Candidate) bool
}

// Scorer returns a cost for a candidate in seconds; lower is better.
type Scorer struct {
	Name string
	Cost func(Request, Candidate) float64
}

// Costs in seconds.
const (
	remoteCost = 0.010 // Of leaving the entry's data centre.
	loadedCost = 0.320 // Of an endpoint whose slots are all taken.
	fullCost   = 1.0   // Beside it, when more is queued.
	usualSlots = 64    // Of an endpoint that does not tell.
	joinCost   = 0.010 // Of an endpoint that runs something: its step must end first.
	jitterCost = 0.004 // Largest random cost; keeps entries from acting alike.
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
	if r.KVElsewhere {
		return c.Role != Prefill
	}
	return c.Role != Output
}

// expectedWait returns the seconds to the first token at a candidate.
func expectedWait(r Request, c Candidate, home bool) float64 {
	if c.Ledger.Rate <= 0 {
		return 0
	}
	prompt := r.PromptTokens
	if home {
		prompt -= r.PrefixTokens
	}
	if r.KVElsewhere {
		prompt = 0
	}
	return (c.Ledger.level(r.Now) + prompt) / c.Ledger.Rate
}

func loadCost(_ Request, c Candidate) float64 {
	held := max(c.Outstanding, c.Running) + c.Queued
	slots := c.MaxRunning
	if slots <= 0 {
		slots = usualSlots
	}
	cost := loadedCost * float64(held) / float64(slots)
	if held > 0 {
		cost += joinCost
	}
	if !c.hasSlot() {
		cost += fullCost
	}
	return cost
}

func distanceCost(r Request, c Candidate) float64 {
	if c.DataCentre == r.DataCentre {
		return 0
	}
	return remoteCost
}

func jitter(r Request, c Candidate) float64 {
	if r.Seed == 0 {
		return 0
	}
	const resolution = 1 << 20
	return jitterCost * float64(mix(r.Seed^c.Hash)%resolution) / resolution
}
