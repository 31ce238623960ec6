package engines

// ActivePeers returns the number of other processes that reported their loads
// within peerReportMaxAge.
func (s *Selector) ActivePeers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerLoadFactor(s.now()) // Drops expired reports.
	return len(s.peerReportedAt)
}

// Gauges returns metrics of each endpoint, by its ID and the name of the metric:
// requests in flight, the queueing time of a prompt in milliseconds, the failure rate in
// percent and, of a measured engine, its prefill time in percent of that of its service.
// Plain endpoints have those of plainGauges.
func (s *Selector) Gauges() map[string]map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	gauges := make(map[string]map[string]int64, len(s.endpoints))
	for id, engine := range s.enginesByID {
		gauges[id] = map[string]int64{
			"running": int64(engine.Running()), "wait_ms": engine.QueueTime(now).Milliseconds(), "failures_percent": percent(engine.Health.Rate(now)),
		}
		if speed, ok := engine.MeasuredSpeed(now); ok {
			gauges[id]["relative_time_percent"] = percent(speed.RelativeTime)
		}
	}
	for _, list := range s.plainByService {
		for _, plain := range list {
			gauges[plain.endpoint.ID] = s.plainGauges(now, plain)
		}
	}
	return gauges
}

func percent(share float64) int64 { return int64(100 * share) }
