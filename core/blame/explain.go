package blame

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// explanation is the search for what explains the crashes.
type explanation struct {
	set     *Set
	moments moments
	// unexplained are the crashes, not explained yet, of each key with enough of them.
	unexplained map[string]map[Crash]bool
}

// update finds out what is to blame after a change. It explains the crashes by as few
// parts as possible: it blames the part with the most crashes, takes these as explained,
// and goes on with the others. What is left counts against requests as a whole.
func (s *Set) update() {
	if !s.stale {
		return
	}
	s.stale = false
	s.blamed, s.blamedRequests = nil, make(map[string]blamed)
	x := s.newExplanation()
	if len(x.unexplained) == 0 {
		return
	}
	x.moments = momentsOf(s.marks)
	for {
		key := x.next()
		if key == "" {
			break
		}
		x.blame(key)
	}
	x.blameRequests(targetPrefix)
	x.blameRequests(requestPrefix)
}

func (s *Set) newExplanation() *explanation {
	x := &explanation{set: s, unexplained: make(map[string]map[Crash]bool)}
	for key, mark := range s.marks {
		minimum := MinCrashes
		if isRequest(key) {
			minimum = MinRequestCrashes
		}
		if len(mark.Evidence) < minimum {
			continue
		}
		if crashes := mark.crashes(); len(crashes) >= minimum {
			x.unexplained[key] = crashes
		}
	}
	return x
}

// next returns the key that explains crashes best: the one with the most, of those that were not
// answered a short time ago. A request is no better than a part that explains more, answered or
// not: what it holds may crash endpoints in others too.
func (x *explanation) next() string {
	best, answered := "", ""
	for _, key := range slices.Sorted(maps.Keys(x.unexplained)) {
		switch {
		case !x.suffices(key):
		case x.set.answered.Has(key):
			answered = x.better(answered, key)
		default:
			best = x.better(best, key)
		}
	}
	if best == "" || isRequest(best) && len(x.unexplained[answered]) > len(x.unexplained[best]) {
		return answered
	}
	return best
}

func (x *explanation) better(a, b string) string {
	if len(x.unexplained[b]) > len(x.unexplained[a]) {
		return b
	}
	return a
}

// suffices reports whether the crashes of a key are enough to blame it beside the parts.
func (x *explanation) suffices(key string) bool {
	crashes, answered := x.unexplained[key], x.set.answered.Has(key)
	switch {
	case isRequest(key):
		return !answered && x.moments.countForRequest(crashes) >= MinCrashes
	case answered:
		return len(crashes) >= MinCrashesAnswered && x.moments.count(crashes) >= minMoments
	case x.set.begun.Has(key):
		return len(crashes) >= MinCrashes && x.moments.count(crashes) >= minMoments
	default:
		return len(crashes) >= MinCrashes
	}
}

// sufficesAlone reports whether the crashes of a request that no part explains are enough to blame
// it as a whole.
func (x *explanation) sufficesAlone(key string) bool {
	crashes := x.unexplained[key]
	if !x.set.answered.Has(key) {
		return x.moments.countForRequest(crashes) >= MinRequestCrashes
	}
	return len(crashes) >= MinRequestCrashesAnswered && x.moments.count(crashes) >= minMoments
}

// blame blames a key, together with others that were in the same crashes.
func (x *explanation) blame(key string) {
	crashes := maps.Clone(x.unexplained[key])
	var parts, requests []string
	for _, other := range slices.Sorted(maps.Keys(x.unexplained)) {
		switch {
		case !maps.Equal(x.unexplained[other], crashes), x.set.answered.Has(other) != x.set.answered.Has(key):
		case isRequest(other):
			requests = append(requests, other)
		default:
			parts = append(parts, other)
		}
	}
	if len(parts) > 0 {
		b := x.set.newBlamed(parts[0])
		b.parts, b.requests = parts, requests
		x.set.blamed = append(x.set.blamed, b)
	} else {
		x.blameEach(mostSpecific(requests))
	}
	x.remove(crashes)
}

// blameRequests blames the requests of one kind for what no part explains.
func (x *explanation) blameRequests(kind string) {
	var keys []string
	explained := make(map[Crash]bool)
	for _, key := range slices.Sorted(maps.Keys(x.unexplained)) {
		if strings.HasPrefix(key, kind) && x.sufficesAlone(key) {
			keys = append(keys, key)
			maps.Copy(explained, x.unexplained[key])
		}
	}
	x.blameEach(keys)
	x.remove(explained)
}

// blameEach blames requests, each for itself.
func (x *explanation) blameEach(requests []string) {
	for _, key := range requests {
		x.set.blamedRequests[key] = x.set.newBlamed(key)
	}
}

// mostSpecific returns the requests with their query if there are any: what they have in common
// without it explains no more.
func mostSpecific(requests []string) []string {
	var targets []string
	for _, key := range requests {
		if strings.HasPrefix(key, targetPrefix) {
			targets = append(targets, key)
		}
	}
	if len(targets) > 0 {
		return targets
	}
	return requests
}

// remove removes crashes from those that are not explained.
func (x *explanation) remove(crashes map[Crash]bool) {
	for _, unexplained := range x.unexplained {
		maps.DeleteFunc(unexplained, func(crash Crash, _ bool) bool { return crashes[crash] })
	}
}

// newBlamed returns what is blamed for the crashes of a key.
func (s *Set) newBlamed(key string) blamed {
	b := blamed{key: key, teams: make(map[string]bool)}
	first := make(map[Crash]time.Time)
	for _, e := range s.marks[key].Evidence {
		if e.Cleared {
			continue
		}
		b.teams[e.Team] = true
		if at, ok := first[e.Crash]; !ok || e.At.Before(at) {
			first[e.Crash] = e.At
		}
	}
	times := slices.SortedFunc(maps.Values(first), time.Time.Compare)
	b.crashes = len(times)
	last := times[len(times)-1]
	factor := time.Duration(refusalFactor)
	if isRequest(key) {
		factor = requestRefusalFactor
	}
	b.until = last.Add(min(max(factor*last.Sub(times[len(times)-2]), minRefusal), maxRefusal))
	return b
}
