package config

import (
	"slices"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/streamversion"
)

// former is a configuration that another one has replaced.
type former struct {
	config     *Config
	replacedAt time.Time
}

// maxFormer bounds the former configurations that are kept.
const maxFormer = 64

// recordReplaced keeps a configuration for as long as streams that it admitted may be taken
// up.
func (h *Holder) recordReplaced(replaced *Config) {
	if replaced == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	h.former = slices.DeleteFunc(h.former, func(f former) bool { return now.Sub(f.replacedAt) > streamversion.Retention })
	h.former = append(h.former, former{config: replaced, replacedAt: now})
	h.former = h.former[max(len(h.former)-maxFormer, 0):]
}

// FormerServices returns the services to which requests of a host and path were sent by
// configurations that were in force while streams may have begun that are taken up now.
func (h *Holder) FormerServices(host, path string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var services []string
	for _, f := range h.former {
		if clock.Now().Sub(f.replacedAt) > streamversion.Retention {
			continue
		}
		if route, ok := f.config.Match(host, path); ok {
			services = append(services, route.Services()...)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}
