package blame

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// momentSpan is the time within which crashes may have one cause, such as a loss of power: they
// count as one moment. Processes learn of crashes some ms apart.
const momentSpan = 250 * time.Millisecond

// moments numbers the moments at which endpoints crashed, by crash.
type moments map[Crash]int

// momentsOf returns the moments of all crashes that marks know of, cleared ones included. A moment
// lasts momentSpan from its first crash on.
func momentsOf(marks map[string]*Mark) moments {
	first := make(map[Crash]time.Time)
	for _, mark := range marks {
		for _, e := range mark.Evidence {
			if at, ok := first[e.Crash]; !ok || e.At.Before(at) {
				first[e.Crash] = e.At
			}
		}
	}
	crashes := slices.SortedFunc(maps.Keys(first), func(a, b Crash) int {
		return cmp.Or(first[a].Compare(first[b]), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.StartedMS, b.StartedMS))
	})
	numbered := make(moments, len(crashes))
	var began time.Time
	number := 0
	for _, crash := range crashes {
		if number == 0 || first[crash].Sub(began) > momentSpan {
			began = first[crash]
			number++
		}
		numbered[crash] = number
	}
	return numbered
}

// count returns the number of different moments of crashes.
func (m moments) count(crashes map[Crash]bool) int {
	different := make(map[int]bool)
	for crash := range crashes {
		different[m[crash]] = true
	}
	return len(different)
}
