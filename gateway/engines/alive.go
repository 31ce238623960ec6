package engines

import "time"

// ObserveEventGap records the time between two events of a stream from an engine.
func (s *Selector) ObserveEventGap(id string, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if engine, ok := s.enginesByID[id]; ok {
		engine.ObserveEventGap(gap)
		engine.LastAnswer = s.now()
	}
}

// aliveWindow is how long an engine counts as alive after it last sent something.
const aliveWindow = 500 * time.Millisecond

// Alive reports whether this process received a response from an engine, or part
// of one, within aliveWindow.
func (s *Selector) Alive(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, ok := s.enginesByID[id]
	return ok && s.now().Sub(engine.LastAnswer) < aliveWindow
}
