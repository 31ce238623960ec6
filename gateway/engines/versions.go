package engines

import (
	"slices"

	"flamingospar.org/core/availability"
	"flamingospar.org/core/placement"
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

// VersionEngines counts the engines of one software version of a service that are listed and
// don't leave.
type VersionEngines struct {
	Decode  int // Generate tokens.
	Ejected int // Of these: failed requests or can't be reached.
	Prefill int // Run prefill only.
}

// EnginesOfVersion counts the engines of a software version of a service.
func (s *Selector) EnginesOfVersion(service, version string) VersionEngines {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var count VersionEngines
	for _, engine := range s.enginesByService[service] {
		switch {
		case engine.Version != version || engine.PassOver(now, false).Reason == availability.Leaving:
		case engine.Stage == placement.Prefill:
			count.Prefill++
		default:
			count.Decode++
			if engine.Health.Ejected(now) {
				count.Ejected++
			}
		}
	}
	return count
}
