package blame

import (
	"maps"
	"slices"
	"time"
)

// Verdict says whether a request is refused.
type Verdict struct {
	Refused bool
	// Trial is set for a request that is let through to find out whether its part still
	// crashes endpoints. It must be sent to one endpoint only.
	Trial   bool
	Parts   []string  // The blamed parts of the request, if there are any.
	Crashes int       // That count against them.
	Until   time.Time // When the refusal ends.
}

// blamed is a smallest explanation of several crashes: usually one part, or several that
// no evidence tells apart. Only requests with all of them are refused, so that a part is
// cleared or blamed alone by the first request that has not got the others.
type blamed struct {
	parts   []string
	crashes int
	teams   map[string]bool
	until   time.Time
}

// Verdict decides about a request of a team with the given parts. A part that only
// another team's requests have crashed endpoints with is not refused: no team alone can
// have the requests of others refused.
func (s *Set) Verdict(team string, parts []string, now time.Time) Verdict {
	s.update()
	if len(s.blamed) == 0 {
		return Verdict{}
	}
	var keys []string
	for _, part := range parts {
		keys = append(keys, Key(part))
	}
	for _, b := range s.blamed {
		if !b.appliesTo(team) || !containsAll(keys, b.parts) {
			continue
		}
		verdict := Verdict{Parts: b.parts, Crashes: b.crashes, Until: b.until}
		verdict.Trial = s.beginTrial(b, now)
		verdict.Refused = !verdict.Trial
		return verdict
	}
	return Verdict{}
}

func (b *blamed) appliesTo(team string) bool { return b.teams[team] || len(b.teams) > 1 }

func containsAll(keys, parts []string) bool {
	for _, part := range parts {
		if !slices.Contains(keys, part) {
			return false
		}
	}
	return true
}

// beginTrial reports whether a request with what is blamed may be let through, and
// records it if so.
func (s *Set) beginTrial(b blamed, now time.Time) bool {
	if now.Before(b.until) || now.Sub(s.trialsBegan[b.parts[0]]) < trialInterval {
		return false
	}
	if s.TrialDelay != nil && now.Before(b.until.Add(s.TrialDelay(b.parts[0]))) {
		return false
	}
	s.trialsBegan[b.parts[0]] = now
	return true
}

// Explained returns the crashes that are explained by what is blamed.
func (s *Set) Explained() map[Crash]bool {
	s.update()
	explained := make(map[Crash]bool)
	for _, b := range s.blamed {
		maps.Copy(explained, s.marks[b.parts[0]].crashes())
	}
	return explained
}

// Changed reports whether what is blamed may have changed since it was last asked for.
func (s *Set) Changed() bool { return s.stale }

// Blamed returns the parts that are blamed. Parts that no evidence tells apart stand
// together.
func (s *Set) Blamed() [][]string {
	s.update()
	var parts [][]string
	for _, b := range s.blamed {
		parts = append(parts, b.parts)
	}
	return parts
}

// update explains the crashes by as few parts as possible: it blames the part with the
// most crashes, takes these as explained, and goes on with the others. Parts that were
// not answered a short time ago come first.
func (s *Set) update() {
	if !s.stale {
		return
	}
	s.stale = false
	s.blamed = nil
	unexplained := make(map[string]map[Crash]bool)
	for part, mark := range s.marks {
		if crashes := mark.crashes(); len(crashes) >= MinCrashes {
			unexplained[part] = crashes
		}
	}
	for {
		parts := s.mostCrashes(unexplained)
		if len(parts) == 0 {
			return
		}
		s.blamed = append(s.blamed, s.explain(parts))
		explained := maps.Clone(unexplained[parts[0]])
		for _, crashes := range unexplained {
			removeAll(crashes, explained)
		}
	}
}

// mostCrashes returns the part with the most unexplained crashes, and the others that
// were in the same crashes; nil if no part has enough.
func (s *Set) mostCrashes(unexplained map[string]map[Crash]bool) []string {
	best, bestAnswered := "", false
	for _, part := range slices.Sorted(maps.Keys(unexplained)) {
		answered := s.answered.has(part)
		if len(unexplained[part]) < minCrashes(answered) {
			continue
		}
		better := bestAnswered && !answered || bestAnswered == answered && len(unexplained[part]) > len(unexplained[best])
		if best == "" || better {
			best, bestAnswered = part, answered
		}
	}
	if best == "" {
		return nil
	}
	parts := []string{best}
	for _, part := range slices.Sorted(maps.Keys(unexplained)) {
		if part != best && s.answered.has(part) == bestAnswered && maps.Equal(unexplained[part], unexplained[best]) {
			parts = append(parts, part)
		}
	}
	return parts
}

func minCrashes(answered bool) int {
	if answered {
		return MinCrashesAnswered
	}
	return MinCrashes
}

// explain returns what is blamed for the crashes of parts.
func (s *Set) explain(parts []string) blamed {
	b := blamed{parts: parts, teams: make(map[string]bool)}
	mark := s.marks[parts[0]]
	first := make(map[Crash]time.Time)
	for _, e := range mark.Evidence {
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
	gap := last.Sub(times[len(times)-2])
	b.until = last.Add(min(max(refusalFactor*gap, minRefusal), maxRefusal))
	return b
}

func removeAll(crashes, removed map[Crash]bool) {
	for crash := range removed {
		delete(crashes, crash)
	}
}
