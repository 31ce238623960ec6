// Package config holds the configuration in force at this process. It only
// moves forward: an older version than the one held is never taken.
package config

import (
	"net"
	"sort"
	"strings"
	"sync/atomic"

	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/config")

// Config is one version, indexed for requests. It does not change.
type Config struct {
	site.Manifest
	Raw    []byte // As the operator wrote it, for other VMs.
	routes map[string][]site.Route
	teams  map[string]site.Team
}

// New indexes a configuration as the operator wrote it.
func New(raw []byte) (*Config, error) {
	manifest, err := site.ParseManifest(raw)
	if err != nil {
		return nil, err
	}
	c := &Config{Manifest: manifest, Raw: raw, routes: make(map[string][]site.Route), teams: make(map[string]site.Team)}
	for _, route := range manifest.Routes {
		host := strings.ToLower(route.Host)
		c.routes[host] = append(c.routes[host], route)
	}
	for _, routes := range c.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for _, team := range manifest.Teams {
		for _, key := range team.Keys {
			c.teams[key] = team
		}
	}
	return c, nil
}

// Match returns the route with the longest prefix of path at host.
func (c *Config) Match(host, path string) (site.Route, bool) {
	for _, route := range c.routes[hostName(host)] {
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

// NeedsKey reports whether requests of a route need a key.
func (c *Config) NeedsKey(route site.Route) bool { return len(c.Teams) > 0 && !route.Open }

// TeamOf returns the team that holds a key.
func (c *Config) TeamOf(key string) (site.Team, bool) {
	team, ok := c.teams[key]
	return team, ok
}

// Holder holds the newest configuration that this process has seen.
type Holder struct {
	current atomic.Pointer[Config]
}

// Current returns the configuration in force, nil before the first.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, 0 before the first.
func (h *Holder) Version() int64 {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Offer takes a configuration that is newer than the one in force. source says
// where it came from.
func (h *Holder) Offer(raw []byte, source string) {
	offered, err := New(raw)
	if err != nil {
		log.Error(err, "A configuration can't be read; the former stays in force.", "source", source, "version_in_force", h.Version())
		return
	}
	for {
		held := h.current.Load()
		if held != nil && held.Version >= offered.Version {
			return
		}
		if h.current.CompareAndSwap(held, offered) {
			log.Info("A configuration is in force.", "version", offered.Version, "source", source, "routes", len(offered.Routes), "teams", len(offered.Teams))
			return
		}
	}
}
