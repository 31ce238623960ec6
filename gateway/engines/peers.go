package engines

import "flamingospar.org/core/placement"

// Load is what one process has sent to an engine.
type Load struct {
	Endpoint string
	Work     placement.Work
	Streams  int
}

// Loads returns what this process has sent, for other processes.
func (l *Ledger) Loads() []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var loads []Load
	for id, engine := range l.models {
		load := Load{Endpoint: id, Work: engine.Work(now), Streams: engine.Streams()}
		if load.Streams > 0 || load.Work != (placement.Work{}) {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetRemote takes the loads that another process tells; engines that it does
// not name have nothing of it.
func (l *Ledger) SetRemote(peer string, loads []Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	named := make(map[string]bool, len(loads))
	for _, load := range loads {
		if engine, ok := l.models[load.Endpoint]; ok {
			named[load.Endpoint] = true
			engine.SetRemote(now, peer, load.Work, load.Streams)
		}
	}
	for id, engine := range l.models {
		if !named[id] {
			engine.DropRemote(peer)
		}
	}
}
