package engines

import (
	"maps"

	"flamingospar.org/core/availability"
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

// PassedOver describes the endpoints of a service that a decision passed over because of
// their rate limits, or because they asked to wait.
type PassedOver struct {
	Count  int                 // Their number.
	Ask    string              // The one to ask for a permit, if the request would be served better there; "" for none.
	Any    string              // Any of them; "" for none.
	Reason availability.Reason // Why Any was passed over.
	// Unregistered is the number of engines passed over since their software version is not
	// known to be registered.
	Unregistered int
}

// add adds an endpoint if it is passed over for a reason that ends.
func (p *PassedOver) add(id string, excluded availability.Exclusion) {
	if excluded.Reason != availability.RateLimited && excluded.Reason != availability.AskedToWait {
		return
	}
	p.Count++
	p.Any, p.Reason = id, excluded.Reason
}

// passedEngines describes the engines of a service that are passed over, have the version that a
// request needs and are not excluded anyway. s.mu must be held.
func (s *Selector) passedEngines(service string, request placement.Request, blocked map[string]bool) PassedOver {
	var passed PassedOver
	now := s.now()
	if len(blocked) == 0 && !s.statements.AnyWaits(now) {
		return passed
	}
	for _, engine := range s.enginesByService[service] {
		if !request.Exclude[engine.ID] && request.Allows(engine.Version) {
			passed.add(engine.ID, engine.PassOver(now, blocked[engine.ID]))
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

// PassedOverPlain describes the endpoints of a plain service that get no request now
// because of their rate limits, or because they asked to wait.
func (s *Selector) PassedOverPlain(service string, exclude map[string]bool) PassedOver {
	s.mu.Lock()
	defer s.mu.Unlock()
	var passed PassedOver
	blocked, now := s.Limits.Blocked(), s.now()
	for _, candidate := range s.plainByService[service] {
		if id := candidate.endpoint.ID; !exclude[id] {
			passed.add(id, candidate.PassOver(now, blocked[id]))
		}
	}
	if passed.Count == 0 || len(blocked) == 0 {
		return passed
	}
	unavailable := s.unavailable(exclude, blocked, true)
	for _, skipSpared := range []bool{true, false} {
		if best := s.cheapestPlain(service, unavailable, skipSpared); best != nil && blocked[best.endpoint.ID] {
			passed.Ask = best.endpoint.ID
			break
		}
	}
	return passed
}
