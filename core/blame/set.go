package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Set holds the marks of parts and decides which requests are refused. It is not safe
// for concurrent use.
type Set struct {
	// TrialDelay returns for how long after the end of a refusal this process still
	// refuses a part, so that not all processes try it at the same moment. nil means no
	// delay.
	TrialDelay func(part string) time.Duration

	marks    map[string]*Mark
	answered answeredParts
	changed  map[string]time.Time // Last change of each mark.

	blamed      []blamed // Valid unless stale.
	stale       bool
	trialsBegan map[string]time.Time // By the first part of what is blamed.
}

// New returns a Set without marks.
func New() *Set {
	return &Set{marks: make(map[string]*Mark), changed: make(map[string]time.Time), trialsBegan: make(map[string]time.Time)}
}

// Mark returns the mark of a part, the zero Mark if there is none.
func (s *Set) Mark(part string) Mark {
	if mark, ok := s.marks[Key(part)]; ok {
		return mark.clone()
	}
	return Mark{}
}

// Empty reports whether there are no marks.
func (s *Set) Empty() bool { return len(s.marks) == 0 }

// RecordCrash marks the parts of the runs that may have crashed an endpoint.
func (s *Set) RecordCrash(crash Crash, runs []Run, now time.Time) {
	for _, run := range runs {
		for _, part := range s.suspects(run.Parts) {
			s.add(part, Evidence{Crash: crash, Team: run.Team, At: now}, now)
		}
	}
	s.evict()
}

// suspects returns the parts of a prompt to mark. If there are too many, those that were
// answered a short time ago are left out first.
func (s *Set) suspects(parts []string) []string {
	var suspects, answered []string
	for _, part := range parts {
		part = Key(part)
		if s.answered.has(part) {
			answered = append(answered, part)
			continue
		}
		suspects = append(suspects, part)
	}
	suspects = append(suspects, answered...)
	return suspects[:min(len(suspects), maxPartsPerRun)]
}

// RecordAnswer clears the parts of a prompt that an endpoint has answered completely or for
// ProvenAfter, and remembers them as answered lately.
func (s *Set) RecordAnswer(parts []string, now time.Time) {
	for _, part := range parts {
		s.answered.add(Key(part))
		s.Clear(part, now)
	}
}

// Clear clears the mark of a part.
func (s *Set) Clear(part string, now time.Time) {
	part = Key(part)
	if mark, ok := s.marks[part]; ok && mark.clear() {
		s.touch(part, now)
	}
}

// Merge adds the mark of another process.
func (s *Set) Merge(mark Mark, now time.Time) {
	part := Key(mark.Part)
	for _, evidence := range mark.Evidence[:min(len(mark.Evidence), maxEvidence)] {
		if now.Sub(evidence.At) < Retention {
			s.add(part, evidence, now)
		}
	}
	s.evict()
}

func (s *Set) add(part string, evidence Evidence, now time.Time) {
	mark, ok := s.marks[part]
	if !ok {
		if evidence.Cleared {
			return // Nothing is known against the part here.
		}
		mark = &Mark{Part: part}
		s.marks[part] = mark
	}
	if mark.add(evidence) {
		s.touch(part, now)
	}
}

func (s *Set) touch(part string, now time.Time) {
	s.changed[part] = now
	s.stale = true
}

// evict removes the marks above MaxMarks: those with the fewest crashes first, and of
// these the oldest.
func (s *Set) evict() {
	excess := len(s.marks) - MaxMarks
	if excess <= 0 {
		return
	}
	marks := slices.SortedFunc(maps.Values(s.marks), func(a, b *Mark) int {
		return cmp.Or(cmp.Compare(len(a.crashes()), len(b.crashes())), a.newest().Compare(b.newest()), cmp.Compare(a.Part, b.Part))
	})
	for _, mark := range marks[:excess] {
		s.remove(mark.Part)
	}
}

func (s *Set) remove(part string) {
	delete(s.marks, part)
	delete(s.changed, part)
	s.stale = true
}

// RemoveExpired removes evidence older than Retention, and marks without evidence.
func (s *Set) RemoveExpired(now time.Time) {
	expired := func(e Evidence) bool { return now.Sub(e.At) >= Retention }
	for part, mark := range s.marks {
		before := len(mark.Evidence)
		mark.Evidence = slices.DeleteFunc(mark.Evidence, expired)
		s.stale = s.stale || len(mark.Evidence) != before
		if len(mark.Evidence) == 0 {
			s.remove(part)
		}
	}
	for part, began := range s.trialsBegan {
		if now.Sub(began) >= trialInterval {
			delete(s.trialsBegan, part)
		}
	}
}

// ChangedSince returns the marks that changed at or after a moment, at most limit: those
// of blamed parts first, then those with the most crashes, then the newest.
func (s *Set) ChangedSince(since time.Time, limit int) []Mark {
	isBlamed := make(map[string]bool)
	for _, part := range slices.Concat(s.Blamed()...) {
		isBlamed[part] = true
	}
	var changed []*Mark
	for part, mark := range s.marks {
		if !s.changed[part].Before(since) {
			changed = append(changed, mark)
		}
	}
	slices.SortFunc(changed, func(a, b *Mark) int {
		if isBlamed[a.Part] != isBlamed[b.Part] {
			if isBlamed[a.Part] {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.crashes()), len(a.crashes())), s.changed[b.Part].Compare(s.changed[a.Part]), cmp.Compare(a.Part, b.Part))
	})
	var marks []Mark
	for _, mark := range changed[:min(len(changed), limit)] {
		marks = append(marks, mark.clone())
	}
	return marks
}
