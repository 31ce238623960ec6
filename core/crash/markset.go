package crash

import (
	"maps"
	"slices"
	"time"
)

// MaxMarks is the maximum number of marks in a MarkSet.
const MaxMarks = 20_000

// MarkSet holds marks by fingerprint. It is not safe for concurrent use.
type MarkSet struct {
	marks map[Fingerprint]Mark
}

// NewMarkSet returns an empty MarkSet.
func NewMarkSet() *MarkSet { return &MarkSet{marks: make(map[Fingerprint]Mark)} }

// Empty reports whether there are no marks.
func (s *MarkSet) Empty() bool { return len(s.marks) == 0 }

// Mark returns the mark of a request, the zero Mark if there is none.
func (s *MarkSet) Mark(fingerprint Fingerprint) Mark { return s.marks[fingerprint] }

// Merge merges mark into the set and reports whether it added anything that has
// not expired.
func (s *MarkSet) Merge(mark Mark, now time.Time) bool {
	known := s.marks[mark.Fingerprint]
	merged := Merge(known, mark)
	if merged.Equal(known) {
		return false
	}
	if merged.Expired(now) {
		delete(s.marks, mark.Fingerprint)
		return false
	}
	s.marks[mark.Fingerprint] = merged
	s.evict(now)
	return true
}

// evict removes marks while the set exceeds MaxMarks, those with the fewest counted
// crashes first.
func (s *MarkSet) evict(now time.Time) {
	for limit := 0; len(s.marks) > MaxMarks; limit++ {
		for fingerprint, mark := range s.marks {
			if len(s.marks) > MaxMarks && mark.Count(now) <= limit {
				delete(s.marks, fingerprint)
			}
		}
	}
}

// All returns the marks sorted by fingerprint.
func (s *MarkSet) All() []Mark {
	marks := make([]Mark, 0, len(s.marks))
	for _, fingerprint := range slices.Sorted(maps.Keys(s.marks)) {
		marks = append(marks, s.marks[fingerprint])
	}
	return marks
}

// RemoveExpired removes the marks that are expired at now.
func (s *MarkSet) RemoveExpired(now time.Time) {
	maps.DeleteFunc(s.marks, func(_ Fingerprint, mark Mark) bool { return mark.Expired(now) })
}
