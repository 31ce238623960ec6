package engines

import "time"

// NotePace notes the time from one event of a stream to the next.
func (l *Ledger) NotePace(id string, gap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if engine, ok := l.models[id]; ok {
		engine.ObserveEventGap(gap)
		engine.LastAnswer = l.now()
	}
}

// aliveFor is how long an engine counts as alive that was heard of.
const aliveFor = 500 * time.Millisecond

// Alive reports whether an engine answered a request of this process, or a part
// of one, just now.
func (l *Ledger) Alive(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	engine, ok := l.models[id]
	return ok && l.now().Sub(engine.LastAnswer) < aliveFor
}
