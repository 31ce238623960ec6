package engines

import (
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/availability"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/engines")

// maxLinesPerSec bounds the lines about each reason for which endpoints are passed over,
// and about statements that can't be read.
const (
	maxLinesPerSec = 10
	classMalformed = "malformed"
)

// StatementFunc is called when an endpoint has said something that keeps requests from it.
type StatementFunc func(endpoint site.Endpoint, excluded availability.Exclusion)

func processOf(endpoint site.Endpoint) availability.Process {
	return availability.Process{Endpoint: endpoint.ID, StartedMS: endpoint.StartedMS}
}

// Observe records what an answer of an endpoint says about further requests to it. What
// is listed, here or later, doesn't change that.
func (s *Selector) Observe(from site.Endpoint, answer site.EndpointResponse) {
	if answer.RetryAfter.Malformed {
		if ok, omitted := s.lines.Allow(classMalformed, maxLinesPerSec); ok {
			log.Info("An endpoint states a time to wait that is not one number of seconds.", "endpoint", from.ID, "request", answer.RequestID, "used_ms", answer.RetryAfter.Wait.Milliseconds(), "lines_omitted", omitted)
		}
	}
	for _, endpoint := range s.speakers(from, answer) {
		s.observe(endpoint, answer)
	}
}

// speakers returns the endpoints that may have given an answer: the one that was called
// and, if the answer comes from another one that leaves, those listed at its address.
func (s *Selector) speakers(called site.Endpoint, answer site.EndpointResponse) []site.Endpoint {
	speakers := []site.Endpoint{called}
	if !answer.Misdirected || !answer.Leaving {
		return speakers
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, endpoint := range s.endpoints {
		if endpoint.Address == called.Address && endpoint.ID != called.ID {
			speakers = append(speakers, endpoint)
		}
	}
	return speakers
}

func (s *Selector) observe(endpoint site.Endpoint, answer site.EndpointResponse) {
	said := availability.Answer{Leaving: answer.Leaving, Wait: answer.RetryAfter.Wait, Accepted: answer.Succeeded}
	s.mu.Lock()
	now := s.now()
	excluded := s.statements.Observe(now, processOf(endpoint), said)
	if excluded.Reason != availability.None {
		s.attachStatement(endpoint)
	}
	s.mu.Unlock()
	if excluded.Reason == availability.None {
		return
	}
	s.logPassedOver(endpoint.ID, now, excluded, "started", endpoint.StartedMS, "request", answer.RequestID, "asked_ms", answer.RetryAfter.Wait.Milliseconds())
	if s.OnStatement != nil {
		s.OnStatement(endpoint, excluded)
	}
}

// attachStatement makes known to the choice of endpoints what an endpoint has said. s.mu
// must be held.
func (s *Selector) attachStatement(endpoint site.Endpoint) {
	if state := s.state(endpoint.ID); state != nil {
		listed := s.endpoints[endpoint.ID]
		state.Statement = s.statements.Of(processOf(listed))
		delete(s.fleets, listed.Service)
	}
}

// logPassedOver writes a line about an endpoint that is passed over from now on.
func (s *Selector) logPassedOver(id string, now time.Time, excluded availability.Exclusion, fields ...any) {
	ok, omitted := s.lines.Allow(string(excluded.Reason), maxLinesPerSec)
	if !ok {
		return
	}
	fields = append([]any{"endpoint", id, "reason", string(excluded.Reason)}, fields...)
	if !excluded.Until.IsZero() {
		fields = append(fields, "for_ms", excluded.Until.Sub(now).Milliseconds())
	}
	log.Info("An endpoint is passed over.", append(fields, "lines_omitted", omitted)...)
}

// Take reports whether an endpoint may be sent a request now, by the list and by what it has
// said itself, and records that the request is sent. It is asked right before each request to
// an endpoint: the list may have changed, or another answer arrived, since it was chosen.
func (s *Selector) Take(to site.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serves(to) && s.statements.Take(s.now(), processOf(to))
}

// serves reports whether an endpoint is listed as it was when it was chosen: it is neither gone
// nor draining, and has not started again or moved since. s.mu must be held.
func (s *Selector) serves(chosen site.Endpoint) bool {
	listed, ok := s.endpoints[chosen.ID]
	return ok && !listed.Draining && listed.StartedMS == chosen.StartedMS && listed.SoftwareVersion == chosen.SoftwareVersion &&
		listed.Service == chosen.Service && listed.Address == chosen.Address
}

// HasSoftware reports whether an endpoint is not listed with other software than when it was
// called.
func (s *Selector) HasSoftware(called site.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.endpoints[called.ID]
	return !ok || current.SoftwareVersion == called.SoftwareVersion
}

// Allows reports what Take does, and records nothing.
func (s *Selector) Allows(to site.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := availability.State{Statement: s.statements.Of(processOf(to))}
	return s.serves(to) && state.PassOver(s.now(), false).Reason == availability.None
}

// IsLeaving reports whether an endpoint said that it leaves.
func (s *Selector) IsLeaving(endpoint site.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statements.Of(processOf(endpoint)).IsLeaving()
}

// LeavingAddresses returns the addresses of listed endpoints that said that they leave.
func (s *Selector) LeavingAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []string
	for _, endpoint := range s.endpoints {
		if s.statements.Of(processOf(endpoint)).IsLeaving() {
			addresses = append(addresses, endpoint.Address)
		}
	}
	return addresses
}

// RetryIn returns the time until the first endpoint of a service may be sent a request
// again, if all that could serve one have asked to wait. It is 0 if one may be sent now, or
// if there is none.
func (s *Selector) RetryIn(service string) time.Duration { return s.RetryInAt(service, "") }

// RetryInAt is RetryIn for a request that only engines of a software version may serve.
func (s *Selector) RetryInAt(service, version string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.statements.AnyWaits(now) {
		return 0
	}
	first := time.Time{}
	for _, state := range s.servingStates(service, version) {
		excluded := state.PassOver(now, false)
		switch {
		case excluded.Reason == availability.Leaving:
		case excluded.Reason != availability.AskedToWait:
			return 0
		case first.IsZero() || excluded.Until.Before(first):
			first = excluded.Until
		}
	}
	if first.IsZero() {
		return 0
	}
	return first.Sub(now)
}
