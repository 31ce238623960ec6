package blame

import (
	"cmp"
	"slices"
	"time"
)

// ranked is a mark with what it is ranked by.
type ranked struct {
	*Mark
	blamed  bool
	crashes int
	changed time.Time
}

// ChangedSince returns the marks that changed at or after a moment, at most limit of parts and
// as many of requests: what is blamed first, then those with the most crashes, then the newest.
func (s *Set) ChangedSince(since time.Time, limit int) []Mark {
	blamed := make(map[string]bool)
	for _, key := range slices.Concat(s.Blamed()...) {
		blamed[key] = true
	}
	var parts, requests []ranked
	for key, mark := range s.marks {
		if s.changed[key].Before(since) {
			continue
		}
		r := ranked{mark, blamed[key], len(mark.crashes()), s.changed[key]}
		if isRequest(key) {
			requests = append(requests, r)
			continue
		}
		parts = append(parts, r)
	}
	return slices.Concat(highest(parts, limit), highest(requests, limit))
}

// highest returns the marks that rank highest, at most limit.
func highest(marks []ranked, limit int) []Mark {
	slices.SortFunc(marks, func(a, b ranked) int {
		if a.blamed != b.blamed {
			if a.blamed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), b.changed.Compare(a.changed), cmp.Compare(a.Part, b.Part))
	})
	selected := make([]Mark, 0, min(len(marks), limit))
	for _, mark := range marks[:min(len(marks), limit)] {
		selected = append(selected, mark.clone())
	}
	return selected
}

// evict removes marks above MaxMarks and MaxRequestMarks: those with the fewest crashes first, and
// of these the oldest.
func (s *Set) evict() {
	if len(s.marks)-s.requestMarks > MaxMarks {
		s.evictTo(MaxMarks, func(key string) bool { return !isRequest(key) })
	}
	if s.requestMarks > MaxRequestMarks {
		s.evictTo(MaxRequestMarks-MaxRequestMarks/8, isRequest) // Seldom, as it sorts them all.
	}
}

// evictTo removes marks of one kind until a number of them is left.
func (s *Set) evictTo(limit int, kind func(key string) bool) {
	var marks []ranked
	for key, mark := range s.marks {
		if kind(key) {
			marks = append(marks, ranked{Mark: mark, crashes: len(mark.crashes()), changed: mark.newest()})
		}
	}
	slices.SortFunc(marks, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), a.changed.Compare(b.changed), cmp.Compare(a.Part, b.Part))
	})
	for _, mark := range marks[:len(marks)-limit] {
		s.remove(mark.Part)
	}
}
