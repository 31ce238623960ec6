package availability

import "time"

// maxStatements bounds the endpoints whose statements are kept.
const maxStatements = 4096

// Process identifies one process of an endpoint. What it says does not hold for a later
// process under the same ID, but for earlier ones: a list that still names one of them is
// older than the statement.
type Process struct {
	Endpoint  string // ID.
	StartedMS int64  // Unix milliseconds of its start.
}

// Statements keeps what endpoints have said of themselves, whether they are listed or not:
// a list may be older than what an endpoint said.
type Statements struct {
	byEndpoint map[string]*entry // By ID.
	waitsEnd   time.Time         // The end of the latest wait.
}

// entry is what the process of an endpoint that started last has said.
type entry struct {
	Statement
	startedMS  int64
	observedAt time.Time
}

// NewStatements returns an empty set.
func NewStatements() *Statements { return &Statements{byEndpoint: make(map[string]*entry)} }

// find returns the entry that holds for a process, or nil if there is none.
func (s *Statements) find(process Process) *entry {
	known, ok := s.byEndpoint[process.Endpoint]
	if !ok || known.startedMS < process.StartedMS {
		return nil
	}
	return known
}

// Of returns what an endpoint has said, or nil if it has said nothing.
func (s *Statements) Of(process Process) *Statement {
	known := s.find(process)
	if known == nil {
		return nil
	}
	return &known.Statement
}

// AnyWaits reports whether an endpoint may have asked to be sent nothing now.
func (s *Statements) AnyWaits(now time.Time) bool { return now.Before(s.waitsEnd) }

// Observe applies an answer of an endpoint and returns the reason that newly holds for it,
// or None if the same holds as before.
func (s *Statements) Observe(now time.Time, process Process, answer Answer) Exclusion {
	known := s.find(process)
	if known == nil {
		if !answer.says() {
			return Exclusion{}
		}
		known = s.add(process)
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

// add adds an entry for a process in place of that for an earlier one.
func (s *Statements) add(process Process) *entry {
	delete(s.byEndpoint, process.Endpoint)
	s.makeRoom()
	added := &entry{startedMS: process.StartedMS}
	s.byEndpoint[process.Endpoint] = added
	return added
}

// makeRoom drops the statement that was observed first if there are too many. Those of
// endpoints that leave are the last to go: nothing else may tell of their leaving.
func (s *Statements) makeRoom() {
	if len(s.byEndpoint) < maxStatements {
		return
	}
	oldest := ""
	var dropped *entry
	for endpoint, known := range s.byEndpoint {
		if dropped == nil || known.dropsBefore(dropped) {
			oldest, dropped = endpoint, known
		}
	}
	delete(s.byEndpoint, oldest)
}

func (e *entry) dropsBefore(other *entry) bool {
	if e.leaving != other.leaving {
		return other.leaving
	}
	return e.observedAt.Before(other.observedAt)
}
