package engines

import (
	"maps"
	"slices"
)

// StreamVersions knows the software versions at which no stream may begin.
type StreamVersions interface {
	// Unconfirmed returns the versions of a service that are not known to be registered.
	Unconfirmed(service string) []string
}

// noVersions is used where versions are not registered.
type noVersions struct{}

func (noVersions) Unconfirmed(string) []string { return nil }

// withoutUnconfirmed adds the engines of unconfirmed versions to those that a decision must
// not choose, and returns their number. s.mu must be held.
func (s *Selector) withoutUnconfirmed(service string, exclude map[string]bool) (map[string]bool, int) {
	versions := s.Versions.Unconfirmed(service)
	if len(versions) == 0 {
		return exclude, 0
	}
	all := maps.Clone(exclude)
	if all == nil {
		all = make(map[string]bool)
	}
	unconfirmed := 0
	for _, engine := range s.enginesByService[service] {
		if slices.Contains(versions, engine.Version) {
			all[engine.ID] = true
			unconfirmed++
		}
	}
	return all, unconfirmed
}
