package engines

import (
	"slices"

	"flamingospar.org/core/availability"
)

// StreamVersions knows the software versions at which streams may begin.
type StreamVersions interface {
	// Registered returns the versions of a service that are known to be registered. tracked
	// is false if versions of the service are not registered at all.
	Registered(service string) (versions []string, tracked bool)
}

// noVersions is used where versions are not registered.
type noVersions struct{}

func (noVersions) Registered(string) ([]string, bool) { return nil, false }

// markUnregistered marks the engines of a service whose version is not registered, and
// returns their number. s.mu must be held.
func (s *Selector) markUnregistered(service string) int {
	versions, tracked := s.Versions.Registered(service)
	marked := 0
	for _, engine := range s.enginesByService[service] {
		before := engine.Unregistered
		engine.Unregistered = tracked && !slices.Contains(versions, engine.Version)
		if !engine.Unregistered {
			continue
		}
		marked++
		if !before {
			s.logPassedOver(engine.ID, s.now(), availability.Exclusion{Reason: availability.Unregistered}, "software", engine.Version)
		}
	}
	return marked
}
