package blame

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Limits of moments.
const (
	// momentSpan is the time within which crashes may have one cause, such as a loss of
	// power: they count as one moment. Processes learn of crashes some ms apart.
	momentSpan = 250 * time.Millisecond
	// maxTiedRequests is the number of requests that were at several crashes of a moment
	// above which these have a cause outside of them. Those beside a request that crashes
	// two endpoints are few: they broke off at the first one with it, and were sent to the
	// same second one.
	maxTiedRequests = 4
)

// moment is a group of crashes within momentSpan of the first of them.
type moment struct {
	crashes int
	// tied is the number of requests that were at several of the crashes, by kind of key.
	tied map[string]int
}

// moments are the moments at which endpoints crashed.
type moments struct {
	of map[Crash]*moment
}

// momentsOf returns the moments of all crashes that marks know of, cleared ones included.
func momentsOf(marks map[string]*Mark) moments {
	m := moments{of: make(map[Crash]*moment)}
	m.group(firstNoticed(marks))
	for key, mark := range marks {
		if isRequest(key) {
			m.countTied(kindOf(key), mark)
		}
	}
	return m
}

// firstNoticed returns when each crash was noticed first.
func firstNoticed(marks map[string]*Mark) map[Crash]time.Time {
	first := make(map[Crash]time.Time)
	for _, mark := range marks {
		for _, e := range mark.Evidence {
			if at, ok := first[e.Crash]; !ok || e.At.Before(at) {
				first[e.Crash] = e.At
			}
		}
	}
	return first
}

// group groups crashes into moments.
func (m moments) group(first map[Crash]time.Time) {
	crashes := slices.SortedFunc(maps.Keys(first), func(a, b Crash) int {
		return cmp.Or(first[a].Compare(first[b]), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.StartedMS, b.StartedMS))
	})
	var current *moment
	var began time.Time
	for _, crash := range crashes {
		if current == nil || first[crash].Sub(began) > momentSpan {
			current, began = &moment{tied: make(map[string]int)}, first[crash]
		}
		current.crashes++
		m.of[crash] = current
	}
}

// countTied counts a request at the moments at which it was at several crashes. Evidence that is
// cleared counts too: what the crashes tell of their cause does not change with it.
func (m moments) countTied(kind string, mark *Mark) {
	if len(mark.Evidence) < 2 {
		return
	}
	crashes := make(map[Crash]bool)
	for _, e := range mark.Evidence {
		crashes[e.Crash] = true
	}
	for at, n := range m.perMoment(crashes) {
		if n > 1 {
			at.tied[kind]++
		}
	}
}

// perMoment returns the number of crashes at each moment.
func (m moments) perMoment(crashes map[Crash]bool) map[*moment]int {
	numbers := make(map[*moment]int)
	for crash := range crashes {
		numbers[m.of[crash]]++
	}
	return numbers
}

// count returns the number of different moments of crashes.
func (m moments) count(crashes map[Crash]bool) int { return len(m.perMoment(crashes)) }

// countForRequest returns the number of crashes that count against a request that was at them.
// Those of a moment count as one if they have a more likely cause than the request: it was at half
// of them or fewer, or many others were at several of them too.
func (m moments) countForRequest(crashes map[Crash]bool) int {
	counted := 0
	for at, n := range m.perMoment(crashes) {
		if 2*n <= at.crashes || at.hasOutsideCause() {
			n = 1
		}
		counted += n
	}
	return counted
}

// hasOutsideCause reports whether too many requests were at several crashes of the moment for one
// of them to be the cause.
func (m *moment) hasOutsideCause() bool {
	return slices.Max(append(slices.Collect(maps.Values(m.tied)), 0)) > maxTiedRequests
}

// kindOf returns which kind of key that of a request is.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, ":")
	return kind
}
