package fair

// Elsewhere adds up the service that teams were given through one entry, so
// that the queue of each endpoint learns what its teams got at the others. It
// is not safe for concurrent use and remembers a bounded number of teams.
type Elsewhere struct {
	limit int
	given map[string]float64            // By team.
	told  map[string]map[string]float64 // By endpoint and team: what it knows of.
}

// NewElsewhere returns an empty book of at most limit teams an endpoint.
func NewElsewhere(limit int) *Elsewhere {
	return &Elsewhere{limit: limit, given: make(map[string]float64), told: make(map[string]map[string]float64)}
}

// Served counts service that a team was given at an endpoint.
func (e *Elsewhere) Served(endpoint, team string, service float64) {
	if _, known := e.given[team]; !known {
		makeRoom(e.given, e.limit)
	}
	e.given[team] += service
	if _, known := e.told[endpoint][team]; known {
		e.told[endpoint][team] += service
	}
}

// Since returns the service that a team was given at other endpoints since the
// last call for this one; nothing the first time.
func (e *Elsewhere) Since(endpoint, team string) float64 {
	given := e.given[team]
	known, ok := e.told[endpoint]
	if !ok {
		known = make(map[string]float64)
		e.told[endpoint] = known
	}
	told, ok := known[team]
	if !ok {
		makeRoom(known, e.limit)
		told = given
	}
	known[team] = given
	return max(0, given-told)
}

// Forget drops what is kept of an endpoint that has left.
func (e *Elsewhere) Forget(endpoint string) { delete(e.told, endpoint) }

// makeRoom forgets an arbitrary team when the limit is reached.
func makeRoom(byTeam map[string]float64, limit int) {
	if len(byTeam) < limit {
		return
	}
	for team := range byTeam {
		delete(byTeam, team)
		return
	}
}
