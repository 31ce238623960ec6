package engines

import (
	"slices"

	"flamingospar.org/core/availability"
)

// StreamVersions knows the software versions at which no stream may begin.
type StreamVersions interface {
	// Unregistered returns the versions of a service that are not known to be registered.
	Unregistered(service string) []string
}

// noVersions is used where versions are not registered.
type noVersions struct{}

func (noVersions) Unregistered(string) []string { return nil }

// markUnregistered marks the engines of a service whose version is not registered, and
// returns their number. s.mu must be held.
func (s *Selector) markUnregistered(service string) int {
	versions := s.Versions.Unregistered(service)
	if len(versions) == 0 && !s.unregistered[service] {
		return 0
	}
	marked := 0
	for _, engine := range s.enginesByService[service] {
		before := engine.Unregistered
		engine.Unregistered = slices.Contains(versions, engine.Version)
		if !engine.Unregistered {
			continue
		}
		marked++
		if !before {
			s.logPassedOver(engine.ID, s.now(), availability.Exclusion{Reason: availability.Unregistered}, "software", engine.Version)
		}
	}
	s.unregistered[service] = marked > 0
	return marked
}
