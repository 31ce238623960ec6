package usage

import "slices"

// Sequences is the set of sequence numbers of one source: all numbers up to Low
// and the spans above it. It stays small, because numbers arrive almost in order.
type Sequences struct {
	Low   int64  `json:"low"`
	Above []Span `json:"above,omitempty"` // Sorted, with gaps between them.
	// LastWindow is the latest window for which a number was added.
	LastWindow Window `json:"last_window"`
}

// Span is the range of numbers from First to Last, both included.
type Span struct {
	First int64 `json:"first"`
	Last  int64 `json:"last"`
}

// Add adds a number to the set and reports whether it was new.
func (s *Sequences) Add(number int64) bool {
	if number <= s.Low {
		return false
	}
	index, inside := s.find(number)
	if inside {
		return false
	}
	s.Above = slices.Insert(s.Above, index, Span{First: number, Last: number})
	s.mergeNeighbours(index)
	s.advanceLow()
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

// Clone returns a deep copy of the set.
func (s *Sequences) Clone() *Sequences {
	return &Sequences{Low: s.Low, Above: slices.Clone(s.Above), LastWindow: s.LastWindow}
}

// find returns the index of the first span that ends at or after number, and
// whether that span contains number.
func (s *Sequences) find(number int64) (int, bool) {
	index, _ := slices.BinarySearchFunc(s.Above, number, func(span Span, n int64) int {
		switch {
		case span.Last < n:
			return -1
		case span.Last > n:
			return 1
		default:
			return 0
		}
	})
	return index, index < len(s.Above) && s.Above[index].First <= number
}

// mergeNeighbours merges the span at an index with adjacent spans.
func (s *Sequences) mergeNeighbours(index int) {
	if index+1 < len(s.Above) && s.Above[index].Last+1 == s.Above[index+1].First {
		s.Above[index].Last = s.Above[index+1].Last
		s.Above = slices.Delete(s.Above, index+1, index+2)
	}
	if index > 0 && s.Above[index-1].Last+1 == s.Above[index].First {
		s.Above[index-1].Last = s.Above[index].Last
		s.Above = slices.Delete(s.Above, index, index+1)
	}
}

func (s *Sequences) advanceLow() {
	if len(s.Above) > 0 && s.Above[0].First == s.Low+1 {
		s.Low = s.Above[0].Last
		s.Above = slices.Delete(s.Above, 0, 1)
	}
}
