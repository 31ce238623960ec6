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
	Outstanding int    // Runs sent there and not finished, known here.
	Queued      int    // Runs queued there, as last reported.
	Ready       bool   // Reachable and not leaving.
}

// Request is what the decision needs to know of a request.
type Request struct {
	Kind       string // "model" or the service's name.
	Model      string
	DataCentre string          // The entry's own.
	Avoid      map[string]bool // Endpoints already tried.
}

// Choice is a decision. Endpoint is empty when no candidate was left.
type Choice struct {
	Endpoint string
	Dropped  map[string]int // Candidates dropped, by filter name.
	Score    float64        // Of the chosen one; lower is better.
	// Alternatives are the next best that were looked at.
	Alternatives []Alternative
}

// Filter reports whether a candidate can serve the request.
type Filter struct {
	Name string
	Keep func(Request, Candidate) bool
}

// Scorer returns a cost for a candidate; lower is better.
type Scorer struct {
	Name string
	Cost func(Request, Candidate) float64
}

// remoteCost is the cost of leaving the entry's data centre, in queued runs.
const remoteCost = 4

// Filters returns the filters in use, in order.
func Filters() []Filter {
	return []Filter{
		{Name: "ready", Keep: func(_ Request, c Candidate) bool { return c.Ready }},
		{Name: "kind", Keep: func(r Request, c Candidate) bool { return c.Kind == r.Kind }},
		{Name: "model", Keep: func(r Request, c Candidate) bool { return r.Model == "" || c.Model == r.Model }},
		{Name: "tried", Keep: func(r Request, c Candidate) bool { return !r.Avoid[c.Endpoint] }},
	}
}

// Scorers returns the scorers in use.
func Scorers() []Scorer {
	return []Scorer{
		{Name: "load", Cost: func(_ Request, c Candidate) float64 { return float64(c.Outstanding + c.Queued) }},
		{Name: "distance", Cost: distanceCost},
	}
}

func distanceCost(r Request, c Candidate) float64 {
	if c.DataCentre == r.DataCentre {
		return 0
	}
	return remoteCost
}

// Choose returns the candidate with the lowest cost; the first wins a tie.
func Choose(request Request, candidates []Candidate) Choice {
	choice := Choice{Dropped: make(map[string]int)}
	filters := Filters()
	scorers := Scorers()
	for _, candidate := range candidates {
		if dropped := droppedBy(filters, request, candidate); dropped != "" {
			choice.Dropped[dropped]++
			continue
		}
		cost := totalCost(scorers, request, candidate)
		choice.consider(candidate.Endpoint, cost)
	}
	return choice
}

func droppedBy(filters []Filter, request Request, candidate Candidate) string {
	for _, filter := range filters {
		if !filter.Keep(request, candidate) {
			return filter.Name
		}
	}
	return ""
}

func totalCost(scorers []Scorer, request Request, candidate Candidate) float64 {
	total := 0.0
	for _, scorer := range scorers {
		total += scorer.Cost(request, candidate)
	}
	return total
}
