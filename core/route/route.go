// Package route chooses the endpoint for a request: filters drop candidates,
// scorers rank what is left, a picker takes one. Decisions are pure functions
// of a snapshot and carry their reasons.
package route

// Candidate is an endpoint as the deciding process knows it.
type Candidate struct {
	Endpoint    string // Endpoint id.
	DataCentre  string
	Kind        string // "model" or the service's name.
	Model       string // The loaded model, for engines.
	Role        Role   // Empty counts as mixed.
	Outstanding int    // Runs sent there and not finished, known here.
	Queued      int    // Runs queued there, as last reported.
	Ready       bool   // Reachable and not leaving.
	Ledger      Ledger // Of prompt tokens to process there.
	Running     int    // Runs on the endpoint, as last reported.
	MaxRunning  int    // Runs that it takes at once; 0: unknown.
	Hash        uint64 // HashOf the endpoint's id.
}

// Role is what an engine does; see core/roles.
type Role string

// The roles.
const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Output  Role = "output"
)

// Request is what the decision needs to know of a request.
type Request struct {
	Kind         string // "model" or the service's name.
	Model        string
	DataCentre   string          // The entry's own.
	Avoid        map[string]bool // Endpoints already tried.
	Now          float64         // Seconds, on the clock of the ledgers.
	PromptTokens float64
	Prefix       uint64  // Of the part of the prompt that can be cached; 0: none.
	PrefixTokens float64 // Length of that part.
	KVElsewhere  bool    // The prompt is processed; only output is left.
	Seed         uint64  // Breaks ties and draws samples.
}

// Choice is a decision. Endpoint is empty when no candidate was left.
type Choice struct {
	Endpoint string
	Dropped  map[string]int // Candidates dropped, by filter name.
	Score    float64        // Of the chosen one, in seconds; lower is better.
	Wait     float64        // Expected seconds to the first token there.
	Looked   int            // Candidates looked at.
	Home     bool           // The prompt's prefix is probably cached there.
	// HandsOver says that another endpoint will generate the output.
	HandsOver bool
	// Alternatives are the next best that were looked at.
	Alternatives []Alternative
}

// Pool gives access to like candidates, in the order of their hash.
type Pool interface {
	Len() int
	At(i int) Candidate
}

// Candidates is a pool in a slice. It need not be in order: a pool that is
// looked at as a whole gives the same choice in any order.
type Candidates []Candidate

// Len implements Pool.
func (c Candidates) Len() int { return len(c) }

// At implements Pool.
func (c Candidates) At(i int) Candidate { return c[i] }

// Choose returns the candidate with the lowest cost among all.
func Choose(request Request, candidates []Candidate) Choice {
	return ChooseFrom(request, Candidates(candidates))
}

// ChooseFrom returns the candidate with the lowest cost among those looked at:
// the whole of a small pool, else the prefix's homes and a random sample.
func ChooseFrom(request Request, pool Pool) Choice {
	choice := Choice{Dropped: make(map[string]int)}
	homes := homesOf(request, pool)
	look := func(i int) {
		candidate := pool.At(i)
		choice.Looked++
		if dropped := droppedBy(request, candidate); dropped != "" {
			choice.Dropped[dropped]++
			return
		}
		home := homes.has(candidate.Endpoint)
		wait := expectedWait(request, candidate, home)
		cost := wait + otherCosts(request, candidate)
		if choice.consider(candidate.Endpoint, cost) {
			choice.Wait = wait
			choice.Home = home
			choice.HandsOver = candidate.Role == Prefill
		}
	}
	eachLooked(request, pool, look)
	return choice
}

func droppedBy(request Request, candidate Candidate) string {
	for _, filter := range filters {
		if !filter.Keep(request, candidate) {
			return filter.Name
		}
	}
	return ""
}

func otherCosts(request Request, candidate Candidate) float64 {
	total := 0.0
	for _, scorer := range scorers {
		total += scorer.Cost(request, candidate)
	}
	return total
}

// OutputRoom reports whether a candidate that may generate output has a free
// slot. Without one, a processed prompt could not be handed over.
func OutputRoom(request Request, pool Pool) bool {
	request.KVElsewhere = true
	room := false
	eachLooked(request, pool, func(i int) {
		candidate := pool.At(i)
		if droppedBy(request, candidate) == "" && candidate.hasSlot() {
			room = true
		}
	})
	return room
}

func (c Candidate) hasSlot() bool {
	return c.MaxRunning == 0 || max(c.Outstanding, c.Running)+c.Queued < c.MaxRunning
}
