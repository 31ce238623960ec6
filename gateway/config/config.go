// Package config holds the configuration in force in this process. Its version only
// increases: a configuration older than the current one is never applied.
package config

import (
	"net"
	"slices"
	"sort"
	"strings"
	"sync"
	"sync/atomic"

	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/config")

// Config is one version of the configuration, indexed for requests. It is immutable.
type Config struct {
	site.Manifest
	Raw          []byte // As the operator wrote it, for sending to other VMs.
	routesByHost map[string][]site.Route
	teamsByKey   map[string]site.Team
	quotas       map[string]site.Quota // Of teams that have one, by name.
	sharing      map[string][]string   // By service, the services of its routes.
}

// New parses and indexes a configuration as the operator wrote it.
func New(raw []byte) (*Config, error) {
	manifest, err := site.ParseManifest(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{Manifest: manifest, Raw: raw, routesByHost: make(map[string][]site.Route), teamsByKey: make(map[string]site.Team), quotas: make(map[string]site.Quota), sharing: make(map[string][]string)}
	for _, route := range manifest.Routes {
		host := strings.ToLower(route.Host)
		c.routesByHost[host] = append(c.routesByHost[host], route)
		c.addSharing(route.Services())
	}
	for _, routes := range c.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for _, team := range manifest.Teams {
		if team.Quota.Limited() {
			c.quotas[team.Name] = team.Quota
		}
		for _, key := range team.APIKeys {
			c.teamsByKey[key] = team
		}
	}
	return c, nil
}

// addSharing records that services share a route.
func (c *Config) addSharing(services []string) {
	if len(services) < 2 {
		return
	}
	for _, service := range services {
		all := append(c.sharing[service], services...)
		slices.Sort(all)
		c.sharing[service] = slices.Compact(all)
	}
}

// Sharing returns the services that share a route with a service, itself included; nil if it
// shares none.
func (c *Config) Sharing(service string) []string { return c.sharing[service] }

// Match returns the route of a host with the longest prefix of path.
func (c *Config) Match(host, path string) (site.Route, bool) {
	for _, route := range c.routesByHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return site.Route{}, false
}

func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// NeedsKey reports whether requests of a route need an API key.
func (c *Config) NeedsKey(route site.Route) bool { return len(c.Teams) > 0 && !route.Public }

// TeamByKey returns the team to which an API key belongs.
func (c *Config) TeamByKey(key string) (site.Team, bool) {
	team, ok := c.teamsByKey[key]
	return team, ok
}

// Quota returns the quota of a team, the zero Quota if it has none.
func (c *Config) Quota(team string) site.Quota { return c.quotas[team] }

// Holder holds the newest configuration received by this process.
type Holder struct {
	current atomic.Pointer[Config]

	mu      sync.Mutex
	invalid logging.Reasons // Why a configuration could not be parsed, by source.
	former  []former        // Those that were replaced, in order.
}

// Current returns the configuration in force, or nil if there is none yet.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, or 0 if there is none yet.
func (h *Holder) Version() int64 {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// UpdateIfNewer applies a configuration if it is newer than the one in force. source
// names where it came from, for the log.
func (h *Holder) UpdateIfNewer(raw []byte, source string) {
	candidate, err := New(raw)
	h.recordParsed(err, source)
	if err != nil {
		return
	}
	for {
		current := h.current.Load()
		if current != nil && current.Version >= candidate.Version {
			return
		}
		if h.current.CompareAndSwap(current, candidate) {
			h.recordReplaced(current)
			log.Info("A configuration is in force.", "version", candidate.Version, "source", source, "routes", len(candidate.Routes), "teams", len(candidate.Teams))
			return
		}
	}
}

// recordParsed writes a line if the reason why a source gives no configuration is new. err
// is nil if it gives one.
func (h *Holder) recordParsed(err error, source string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.invalid.Forget(source)
		return
	}
	if h.invalid.Changed(source, err.Error()) {
		log.Error(err, "Could not parse a configuration; the previous one stays in force.", "source", source, "version_in_force", h.Version())
	}
}
