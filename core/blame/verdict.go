package blame

import (
	"maps"
	"slices"
	"time"
)

// Verdict says whether a request is refused.
type Verdict struct {
	Refused bool
	// Trial is set for a request that is let through to find out whether what is blamed
	// still crashes endpoints. It must be sent to one endpoint only.
	Trial   bool
	Parts   []string  // The blamed parts of the request; none if it is blamed as a whole.
	Crashes int       // That count against what is blamed.
	Until   time.Time // When the refusal ends.
}

// blamed is a smallest explanation of several crashes: usually one part, or several that
// no evidence tells apart. Only requests with all of them are refused, so that a part is
// cleared or blamed alone by the first request that has not got the others. A request may
// be blamed as a whole, without parts.
type blamed struct {
	key      string // By which its trials are known.
	parts    []string
	requests []string // That no evidence tells apart from the parts: one of them is refused.
	crashes  int
	teams    map[string]bool
	until    time.Time
}

// Verdict decides about a request. What only another team's requests have crashed
// endpoints with is not refused: no team alone can have the requests of others refused.
func (s *Set) Verdict(run Run, now time.Time) Verdict {
	applicable := s.applicable(run)
	if len(applicable) == 0 {
		return Verdict{}
	}
	decisive := applicable[0]
	for _, b := range applicable {
		if !s.mayTry(b, now) && (s.mayTry(decisive, now) || b.until.After(decisive.until)) {
			decisive = b
		}
	}
	verdict := Verdict{Parts: decisive.parts, Crashes: decisive.crashes, Until: decisive.until}
	verdict.Refused = !s.mayTry(decisive, now)
	verdict.Trial = !verdict.Refused
	if verdict.Trial {
		for _, b := range applicable {
			s.trialsBegan[b.key] = now
		}
	}
	return verdict
}

// applicable returns what is blamed that a request has.
func (s *Set) applicable(run Run) []blamed {
	s.update()
	var applicable []blamed
	if len(s.blamed) > 0 {
		keys := run.keys()
		for _, b := range s.blamed {
			if b.appliesTo(run.Team) && containsAll(keys, b.parts) && (len(b.requests) == 0 || containsAny(run.Requests, b.requests)) {
				applicable = append(applicable, b)
			}
		}
	}
	for _, key := range run.Requests {
		if b, ok := s.blamedRequests[key]; ok {
			applicable = append(applicable, b)
		}
	}
	return applicable
}

func (b *blamed) appliesTo(team string) bool { return b.teams[team] || len(b.teams) > 1 }

func containsAll(keys, wanted []string) bool {
	for _, key := range wanted {
		if !slices.Contains(keys, key) {
			return false
		}
	}
	return true
}

func containsAny(keys, wanted []string) bool {
	return slices.ContainsFunc(wanted, func(key string) bool { return slices.Contains(keys, key) })
}

// mayTry reports whether a request with what is blamed may be let through.
func (s *Set) mayTry(b blamed, now time.Time) bool {
	if now.Before(b.until) || now.Sub(s.trialsBegan[b.key]) < trialInterval {
		return false
	}
	return s.TrialDelay == nil || !now.Before(b.until.Add(s.TrialDelay(b.key)))
}

// Changed reports whether what is blamed may have changed since it was last asked for.
func (s *Set) Changed() bool { return s.stale }

// Blamed returns what is blamed. What no evidence tells apart stands together.
func (s *Set) Blamed() [][]string {
	s.update()
	var groups [][]string
	for _, b := range s.blamed {
		groups = append(groups, slices.Concat(b.parts, b.requests))
	}
	for _, key := range slices.Sorted(maps.Keys(s.blamedRequests)) {
		groups = append(groups, []string{key})
	}
	return groups
}
