package streamversions

// Registered returns the listed versions of a service that are known to be registered as in
// use: streams may begin at them alone. tracked is false if the name of the service is too long
// for a register.
func (t *Tracker) Registered(serviceName string) (versions []string, tracked bool) {
	if len(serviceName) > maxServiceBytes {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.services[serviceName]
	if !ok {
		return nil, true
	}
	for name, v := range s.versions {
		if v.engines > 0 && v.inUse {
			versions = append(versions, name)
		}
	}
	return versions, true
}

// Ready reports whether streams of each service with listed engines could begin, if only
// once: a process that has just started has to learn first which versions are registered.
func (t *Tracker) Ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ready {
		return true
	}
	for _, s := range t.services {
		if len(s.listed()) > 0 && !s.anyInUse() {
			return false
		}
	}
	t.ready = true
	return true
}

func (s *service) anyInUse() bool {
	for _, v := range s.versions {
		if v.engines > 0 && v.inUse {
			return true
		}
	}
	return false
}

// ServiceVersion is a software version of a service.
type ServiceVersion struct {
	Service string
	Version string
}

// InUse returns the listed versions that are known to be registered as in use, for other
// processes.
func (t *Tracker) InUse() []ServiceVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var inUse []ServiceVersion
	for serviceName, s := range t.services {
		for versionName, v := range s.versions {
			if v.engines > 0 && v.inUse {
				inUse = append(inUse, ServiceVersion{Service: serviceName, Version: versionName})
			}
		}
	}
	return inUse
}

// MergeInUse records versions that another process knows to be registered as in use.
func (t *Tracker) MergeInUse(versions []ServiceVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range versions {
		s, ok := t.services[known.Service]
		if !ok {
			continue
		}
		if v, ok := s.versions[known.Version]; ok && v.engines > 0 && !v.missing {
			t.setInUse(known.Service, known.Version, v, "another process")
		}
	}
}
