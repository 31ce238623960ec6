package engines

// Heard returns the number of other processes that told something lately.
func (l *Ledger) Heard() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unheardFactor(l.now()) // Forgets those that are silent.
	return len(l.heard)
}

// Gauges returns what is believed of each endpoint, by its ID and the figure's
// name: requests in flight, the wait of a prompt in milliseconds and the share of
// failures in percent.
func (l *Ledger) Gauges() map[string]map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	gauges := make(map[string]map[string]int64, len(l.known))
	for id, engine := range l.models {
		gauges[id] = map[string]int64{
			"running": int64(engine.Running()), "wait_ms": engine.QueueTime(now).Milliseconds(), "failures_percent": percent(engine.Health.Rate(now)),
		}
	}
	for _, list := range l.plain {
		for _, plain := range list {
			gauges[plain.endpoint.ID] = map[string]int64{"running": int64(plain.running), "failures_percent": percent(plain.health.Rate(now))}
		}
	}
	return gauges
}

func percent(share float64) int64 { return int64(100 * share) }
