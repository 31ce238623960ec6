package fair

// RemoteService tracks the service that teams received through one entry process,
// so that the fair queue of each endpoint can be charged for what its teams
// received at other endpoints. It keeps a bounded number of teams and is not safe
// for concurrent use.
type RemoteService struct {
	limit    int
	total    map[string]float64            // Service by team, over all endpoints.
	reported map[string]map[string]float64 // By endpoint and team: service the endpoint has accounted for.
}

// NewRemoteService returns an empty tracker of at most limit teams in total and per
// endpoint.
func NewRemoteService(limit int) *RemoteService {
	return &RemoteService{limit: limit, total: make(map[string]float64), reported: make(map[string]map[string]float64)}
}

// Record adds service that a team received at an endpoint.
func (s *RemoteService) Record(endpoint, team string, service float64) {
	if _, known := s.total[team]; !known {
		evictIfFull(s.total, s.limit)
	}
	s.total[team] += service
	if _, known := s.reported[endpoint][team]; known {
		s.reported[endpoint][team] += service
	}
}

// Unreported returns the service that a team received at other endpoints since the
// previous call for this endpoint and team, and marks it as reported. The first
// call returns 0.
func (s *RemoteService) Unreported(endpoint, team string) float64 {
	total := s.total[team]
	known, ok := s.reported[endpoint]
	if !ok {
		known = make(map[string]float64)
		s.reported[endpoint] = known
	}
	reported, ok := known[team]
	if !ok {
		evictIfFull(known, s.limit)
		reported = total
	}
	known[team] = total
	return max(0, total-reported)
}

// Forget removes the records of an endpoint that has left.
func (s *RemoteService) Forget(endpoint string) { delete(s.reported, endpoint) }

// evictIfFull removes an arbitrary team if the map has reached its limit.
func evictIfFull(byTeam map[string]float64, limit int) {
	if len(byTeam) < limit {
		return
	}
	for team := range byTeam {
		delete(byTeam, team)
		return
	}
}
