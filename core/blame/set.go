package blame

import (
	"slices"
	"time"

	"flamingospar.org/core/recent"
)

// Set holds the marks of parts and requests, and decides which requests are refused. It is
// not safe for concurrent use.
type Set struct {
	// TrialDelay returns for how long after the end of a refusal this process still
	// refuses what is blamed, so that not all processes try it at the same moment. nil
	// means no delay.
	TrialDelay func(key string) time.Duration

	marks        map[string]*Mark
	requestMarks int // Number of the marks that are those of requests.
	answered     *recent.Set[string]
	begun        *recent.Set[string]  // Parts to which answers were begun; no proof, see ProvenAfter.
	changed      map[string]time.Time // Last change of each mark.

	blamed         []blamed          // Parts; valid unless stale.
	blamedRequests map[string]blamed // Requests as a whole, by key; valid unless stale.
	stale          bool
	trialsBegan    map[string]time.Time // By the key of what is blamed.
}

// New returns a Set without marks.
func New() *Set {
	return &Set{
		marks: make(map[string]*Mark), answered: recent.New[string](maxAnswered), begun: recent.New[string](maxAnswered), changed: make(map[string]time.Time), trialsBegan: make(map[string]time.Time),
	}
}

// Mark returns the mark with a key, the zero Mark if there is none.
func (s *Set) Mark(key string) Mark {
	if mark, ok := s.marks[key]; ok {
		return mark.clone()
	}
	return Mark{}
}

// Empty reports whether there are no marks.
func (s *Set) Empty() bool { return len(s.marks) == 0 }

// RecordCrash marks the parts and requests of the runs that may have crashed an endpoint at a
// moment. This process learned of it now.
func (s *Set) RecordCrash(crash Crash, runs []Run, at, now time.Time) {
	for _, run := range runs {
		for _, key := range slices.Concat(s.suspects(run), run.Requests) {
			s.add(key, Evidence{Crash: crash, Team: run.Team, At: at}, now)
		}
	}
	s.evict()
}

// suspects returns the parts of a prompt to mark. If there are too many, those that were
// answered a short time ago are left out first.
func (s *Set) suspects(run Run) []string {
	var suspects, answered []string
	for _, key := range run.keys() {
		if s.answered.Has(key) {
			answered = append(answered, key)
			continue
		}
		suspects = append(suspects, key)
	}
	suspects = append(suspects, answered...)
	return suspects[:min(len(suspects), maxPartsPerRun)]
}

// RecordBegun remembers that an endpoint has begun to answer a prompt. What crashes count
// against already gets nothing from it: an endpoint may crash after the first event.
func (s *Set) RecordBegun(run Run) {
	for _, key := range run.keys() {
		if mark, ok := s.marks[key]; ok && len(mark.crashes()) > 0 {
			continue
		}
		s.begun.Add(key)
	}
}

// RecordAnswer clears the parts and the request of a run that an endpoint has answered
// completely or for ProvenAfter, and remembers them as answered lately.
func (s *Set) RecordAnswer(run Run, now time.Time) {
	for _, key := range slices.Concat(run.keys(), run.Requests) {
		s.answered.Add(key)
		if mark, ok := s.marks[key]; ok && mark.clear() {
			s.touch(key, now)
		}
	}
}

// RememberAnswered notes that requests were answered a short time ago, maybe before what they are
// marked for.
func (s *Set) RememberAnswered(keys []string) {
	for _, key := range keys {
		s.stale = s.answered.Add(key) || s.stale
	}
}

// Merge adds the mark of another process.
func (s *Set) Merge(mark Mark, now time.Time) {
	key := keyOfMark(mark.Part)
	for _, evidence := range mark.Evidence[:min(len(mark.Evidence), maxEvidence)] {
		if now.Sub(evidence.At) < Retention {
			s.add(key, evidence, now)
		}
	}
	s.evict()
}

func (s *Set) add(key string, evidence Evidence, now time.Time) {
	mark, ok := s.marks[key]
	if !ok {
		if evidence.Cleared {
			return // Nothing is known against it here.
		}
		mark = &Mark{Part: key}
		s.marks[key] = mark
		if isRequest(key) {
			s.requestMarks++
		}
	}
	if mark.add(evidence) {
		s.touch(key, now)
	}
}

func (s *Set) touch(key string, now time.Time) {
	s.changed[key] = now
	s.stale = true
}

// RemoveExpired removes evidence older than Retention, and marks without evidence.
func (s *Set) RemoveExpired(now time.Time) {
	expired := func(e Evidence) bool { return now.Sub(e.At) >= Retention }
	for key, mark := range s.marks {
		before := len(mark.Evidence)
		mark.Evidence = slices.DeleteFunc(mark.Evidence, expired)
		s.stale = s.stale || len(mark.Evidence) != before
		if len(mark.Evidence) == 0 {
			s.remove(key)
		}
	}
	for key, began := range s.trialsBegan {
		if now.Sub(began) >= trialInterval {
			delete(s.trialsBegan, key)
		}
	}
}

func (s *Set) remove(key string) {
	delete(s.marks, key)
	delete(s.changed, key)
	if isRequest(key) {
		s.requestMarks--
	}
	s.stale = true
}
