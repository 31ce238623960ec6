// Package route chooses the endpoint for a request. Filters drop the candidates
// that can't serve it, scorers assign the rest a cost, and the candidate with the
// lowest cost is chosen. A decision is a pure function of its inputs and reports
// the scores and the number of candidates dropped by each filter.
package route

// Candidate is the state of an endpoint as known to the process that decides.
type Candidate struct {
	Endpoint    string // Endpoint ID.
	DataCentre  string
	Kind        string  // "model" or the service's name.
	Model       string  // The loaded model, for engines.
	Role        Role    // Empty is treated as Mixed.
	Outstanding int     // Unfinished runs that this process sent there.
	Queued      int     // Queued runs in the last report.
	Ready       bool    // Reachable and not draining.
	Backlog     Backlog // Prompt tokens to process there.
	Running     int     // Runs on the endpoint in the last report.
	MaxRunning  int     // Concurrent run limit of the endpoint; 0 if unknown.
	Hash        uint64  // HashOf the endpoint ID.
}

// Role is the inference phase that an engine serves; see core/roles.
type Role string

const (
	Mixed   Role = "mixed"
	Prefill Role = "prefill"
	Output  Role = "output"
)

// Request holds the properties of a request that affect the decision.
type Request struct {
	Kind         string // "model" or the service's name.
	Model        string
	DataCentre   string          // Data centre of the entry process.
	Avoid        map[string]bool // Endpoints already tried.
	Now          float64         // Seconds, on the clock of the backlog estimates.
	PromptTokens float64
	Prefix       uint64  // Hash of the cacheable part of the prompt; 0 if none.
	PrefixTokens float64 // Length of the cacheable part.
	PrefillDone  bool    // The prompt has been processed; only output generation remains.
	Seed         uint64  // Seeds the sampling and the jitter.
}

// Choice is the result of a decision. Endpoint is empty if no candidate passed the
// filters.
type Choice struct {
	Endpoint     string
	Dropped      map[string]int // Number of dropped candidates by filter name.
	Score        float64        // Cost of the chosen candidate in seconds; lower is better.
	Wait         float64        // Expected time to first token in seconds, without the other costs.
	Examined     int            // Number of candidates examined.
	PrefixCached bool           // The prompt's prefix is probably in the endpoint's cache.
	// PrefillOnly reports that the endpoint only processes the prompt and another
	// one generates the output.
	PrefillOnly bool
	// Alternatives are the examined candidates with the next lowest costs.
	Alternatives []Alternative
}

// Pool provides access to interchangeable candidates, sorted by Hash.
type Pool interface {
	Len() int
	At(i int) Candidate
}

// Candidates is a Pool backed by a slice. A pool of at most fullScanLimit
// candidates need not be sorted, since all of them are examined.
type Candidates []Candidate

func (c Candidates) Len() int { return len(c) }

func (c Candidates) At(i int) Candidate { return c[i] }

// Choose returns the candidate of the slice with the lowest cost.
func Choose(request Request, candidates []Candidate) Choice {
	return ChooseFrom(request, Candidates(candidates))
}

// ChooseFrom returns the candidate with the lowest cost among those examined: all
// of a small pool, otherwise the candidates with affinity to the prompt's prefix
// and a random sample.
func ChooseFrom(request Request, pool Pool) Choice {
	choice := Choice{Dropped: make(map[string]int)}
	affine := affineEndpointsOf(request, pool)
	examine := func(i int) {
		candidate := pool.At(i)
		choice.Examined++
		if dropped := droppedBy(request, candidate); dropped != "" {
			choice.Dropped[dropped]++
			return
		}
		cached := affine.contains(candidate.Endpoint)
		wait := expectedWait(request, candidate, cached)
		cost := wait + otherCosts(request, candidate)
		if choice.consider(candidate.Endpoint, cost) {
			choice.Wait = wait
			choice.PrefixCached = cached
			choice.PrefillOnly = candidate.Role == Prefill
		}
	}
	forEachExamined(request, pool, examine)
	return choice
}

// droppedBy returns the name of the first filter that rejects the candidate, or "".
func droppedBy(request Request, candidate Candidate) string {
	for _, filter := range filters {
		if !filter.Keep(request, candidate) {
			return filter.Name
		}
	}
	return ""
}

// otherCosts sums the costs of all scorers.
func otherCosts(request Request, candidate Candidate) float64 {
	total := 0.0
	for _, scorer := range scorers {
		total += scorer.Cost(request, candidate)
	}
	return total
}

// HasOutputSlot reports whether any examined candidate that can generate output has
// a free slot. Without one, a prompt processed elsewhere could not be handed over.
func HasOutputSlot(request Request, pool Pool) bool {
	request.PrefillDone = true
	room := false
	forEachExamined(request, pool, func(i int) {
		candidate := pool.At(i)
		if droppedBy(request, candidate) == "" && candidate.hasFreeSlot() {
			room = true
		}
	})
	return room
}

func (c Candidate) hasFreeSlot() bool {
	return c.MaxRunning == 0 || max(c.Outstanding, c.Running)+c.Queued < c.MaxRunning
}
