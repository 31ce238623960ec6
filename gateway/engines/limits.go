package engines

import (
	"maps"

	"flamingospar.org/core/placement"
)

// SendLimits knows the endpoints that accept no request now because of a rate limit.
type SendLimits interface {
	// Blocked returns the endpoints that may be sent no request now, by ID.
	Blocked() map[string]bool
	// MayAsk reports whether a permit for a blocked endpoint may be had from another
	// process.
	MayAsk(id string) bool
	// Limited reports whether an endpoint has a rate limit.
	Limited(id string) bool
}

// noLimits is used where no endpoint has a rate limit.
type noLimits struct{}

func (noLimits) Blocked() map[string]bool { return nil }
func (noLimits) MayAsk(string) bool       { return false }
func (noLimits) Limited(string) bool      { return false }

// PassedOver describes the endpoints of a service that a decision passed over, most because
// of their rate limits.
type PassedOver struct {
	Count int    // Their number.
	Ask   string // The one to ask for a permit, if the request would be served better there; "" for none.
	Any   string // Any of them; "" for none.
	// Unconfirmed is the number of engines passed over since their software version is not
	// known to be registered.
	Unconfirmed int
}

// passedEngines describes the blocked engines of a service that are not excluded anyway.
// s.mu must be held.
func (s *Selector) passedEngines(service string, exclude, blocked map[string]bool) PassedOver {
	var passed PassedOver
	if len(blocked) == 0 {
		return passed
	}
	for _, engine := range s.enginesByService[service] {
		if blocked[engine.ID] && !exclude[engine.ID] && !engine.Draining {
			passed.Count++
			passed.Any = engine.ID
		}
	}
	return passed
}

// unavailable returns the engines that a decision must not choose: those that are
// excluded and those that are blocked. If askable is set, it leaves out those for which
// a permit may be had.
func (s *Selector) unavailable(exclude, blocked map[string]bool, askable bool) map[string]bool {
	if len(blocked) == 0 {
		return exclude
	}
	all := make(map[string]bool, len(exclude)+len(blocked))
	maps.Copy(all, exclude)
	for id := range blocked {
		if !askable || !s.Limits.MayAsk(id) {
			all[id] = true
		}
	}
	return all
}

// engineToAsk returns the blocked engine that would be part of a better decision for a
// request if its limit allowed, or "". s.mu must be held.
func (s *Selector) engineToAsk(service string, request placement.Request, blocked map[string]bool, verdict placement.Verdict) string {
	request.Exclude = s.unavailable(request.Exclude, blocked, true)
	better := s.fleet(service).Decide(s.now(), request)
	if better.Verdict >= verdict {
		return ""
	}
	for _, engine := range []*placement.Engine{better.Prefill, better.Decode} {
		if engine != nil && blocked[engine.ID] {
			return engine.ID
		}
	}
	return ""
}

// PassedOverPlain describes the endpoints of a plain service that have no room for another
// request because of their rate limits.
func (s *Selector) PassedOverPlain(service string, exclude map[string]bool) PassedOver {
	s.mu.Lock()
	defer s.mu.Unlock()
	var passed PassedOver
	blocked := s.Limits.Blocked()
	for _, candidate := range s.plainByService[service] {
		id := candidate.endpoint.ID
		if blocked[id] && !exclude[id] && !candidate.endpoint.Draining {
			passed.Count++
			passed.Any = id
		}
	}
	if passed.Count == 0 {
		return passed
	}
	unavailable := s.unavailable(exclude, blocked, true)
	for _, skipEjected := range []bool{true, false} {
		if best := s.cheapestPlain(service, unavailable, skipEjected); best != nil {
			passed.Ask = best.endpoint.ID
			break
		}
	}
	return passed
}
