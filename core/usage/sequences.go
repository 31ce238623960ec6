package usage

import "slices"

// Sequences is a set of sequence numbers of one source: all up to Low, and the
// spans above it. Numbers come almost in order, so that it stays small.
type Sequences struct {
	Low   int64  `json:"low"`
	Above []Span `json:"above,omitempty"` // Sorted, apart from each other.
	// LastWindow is the newest window for which a number was added.
	LastWindow Window `json:"last_window"`
}

// Span is the numbers from First to Last, both included.
type Span struct {
	First int64 `json:"first"`
	Last  int64 `json:"last"`
}

// Add puts a number in and reports whether it was new.
func (s *Sequences) Add(number int64) bool {
	if number <= s.Low {
		return false
	}
	at, inside := s.find(number)
	if inside {
		return false
	}
	s.Above = slices.Insert(s.Above, at, Span{First: number, Last: number})
	s.join(at)
	s.raiseLow()
	return true
}

// Has reports whether a number is in the set.
func (s *Sequences) Has(number int64) bool {
	if number <= s.Low {
		return true
	}
	_, inside := s.find(number)
	return inside
}

// Clone returns an independent copy.
func (s *Sequences) Clone() *Sequences {
	return &Sequences{Low: s.Low, Above: slices.Clone(s.Above), LastWindow: s.LastWindow}
}

// find returns the index of the first span that ends at or after number, and
// whether that span holds it.
func (s *Sequences) find(number int64) (int, bool) {
	at, _ := slices.BinarySearchFunc(s.Above, number, func(span Span, n int64) int {
		switch {
		case span.Last < n:
			return -1
		case span.Last > n:
			return 1
		default:
			return 0
		}
	})
	return at, at < len(s.Above) && s.Above[at].First <= number
}

// join merges the span at an index with its neighbours.
func (s *Sequences) join(at int) {
	if at+1 < len(s.Above) && s.Above[at].Last+1 == s.Above[at+1].First {
		s.Above[at].Last = s.Above[at+1].Last
		s.Above = slices.Delete(s.Above, at+1, at+2)
	}
	if at > 0 && s.Above[at-1].Last+1 == s.Above[at].First {
		s.Above[at-1].Last = s.Above[at].Last
		s.Above = slices.Delete(s.Above, at, at+1)
	}
}

func (s *Sequences) raiseLow() {
	if len(s.Above) > 0 && s.Above[0].First == s.Low+1 {
		s.Low = s.Above[0].Last
		s.Above = slices.Delete(s.Above, 0, 1)
	}
}
