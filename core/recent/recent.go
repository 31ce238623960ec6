// Package recent remembers the keys that were seen last, in bounded memory.
package recent

// Set holds the last keys that were added: between half of its limit and all of it. It keeps two
// generations, so that it forgets the older half at a time. It is not safe for concurrent use.
type Set[K comparable] struct {
	limit             int
	current, previous map[K]bool
}

// New returns an empty Set for a number of keys.
func New[K comparable](limit int) *Set[K] { return &Set[K]{limit: limit} }

// Add adds a key and reports whether it was not in the set.
func (s *Set[K]) Add(key K) (added bool) {
	if s.current[key] {
		return false
	}
	if len(s.current) >= s.limit/2 {
		s.previous, s.current = s.current, nil
	}
	if s.current == nil {
		s.current = make(map[K]bool)
	}
	added = !s.previous[key]
	s.current[key] = true
	return added
}

// Has reports whether a key is in the set.
func (s *Set[K]) Has(key K) bool { return s.current[key] || s.previous[key] }
