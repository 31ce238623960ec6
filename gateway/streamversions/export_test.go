package streamversions

import "slices"

// Unregistered returns the listed versions of a service at which no stream may begin yet.
func (t *Tracker) Unregistered(serviceName string) []string {
	registered, _ := t.Registered(serviceName)
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[serviceName]
	if !ok {
		return nil
	}
	return slices.DeleteFunc(s.listed(), func(version string) bool { return slices.Contains(registered, version) })
}
