package availability

import "time"

// maxStatements bounds the endpoints whose statements are kept.
const maxStatements = 4096

// Process identifies one process of an endpoint. What it says does not hold for the next
// process under the same ID.
type Process struct {
	Endpoint  string // ID.
	StartedMS int64  // Unix milliseconds of its start.
}

// Statements keeps what endpoints have said of themselves, whether they are listed or not:
// a list may be older than what an endpoint said.
type Statements struct {
	byProcess map[Process]*entry
	waitsEnd  time.Time // The end of the latest wait.
}

type entry struct {
	Statement
	observedAt time.Time
}

// NewStatements returns an empty set.
func NewStatements() *Statements { return &Statements{byProcess: make(map[Process]*entry)} }

// Of returns what an endpoint has said, or nil if it has said nothing.
func (s *Statements) Of(process Process) *Statement {
	if known, ok := s.byProcess[process]; ok {
		return &known.Statement
	}
	return nil
}

// AnyWaits reports whether an endpoint may have asked to be sent nothing now.
func (s *Statements) AnyWaits(now time.Time) bool { return now.Before(s.waitsEnd) }

// Observe applies an answer of an endpoint and returns the reason that newly holds for it,
// or None if the same holds as before.
func (s *Statements) Observe(now time.Time, process Process, answer Answer) Exclusion {
	known, ok := s.byProcess[process]
	if !ok {
		if !answer.says() {
			return Exclusion{}
		}
		s.makeRoom()
		known = &entry{}
		s.byProcess[process] = known
	}
	state := State{Statement: &known.Statement}
	before := state.PassOver(now, false)
	known.observe(now, answer)
	known.observedAt = now
	s.waitsEnd = latest(s.waitsEnd, known.waitUntil)
	if after := state.PassOver(now, false); after.Reason != before.Reason {
		return after
	}
	return Exclusion{}
}

// Take reports whether an endpoint allows a request now, and records that it is sent.
func (s *Statements) Take(now time.Time, process Process) bool {
	statement := s.Of(process)
	if !statement.Take(now) {
		return false
	}
	if statement != nil {
		s.waitsEnd = latest(s.waitsEnd, statement.waitUntil)
	}
	return true
}

// makeRoom drops the statement that was observed first if there are too many. Those of
// endpoints that leave are the last to go: nothing else may tell of their leaving.
func (s *Statements) makeRoom() {
	if len(s.byProcess) < maxStatements {
		return
	}
	var oldest Process
	var dropped *entry
	for process, known := range s.byProcess {
		if dropped == nil || known.dropsBefore(dropped) {
			oldest, dropped = process, known
		}
	}
	delete(s.byProcess, oldest)
}

func (e *entry) dropsBefore(other *entry) bool {
	if e.leaving != other.leaving {
		return other.leaving
	}
	return e.observedAt.Before(other.observedAt)
}
