// Package check finds what is wrong with a configuration before the operator publishes it,
// and what differs from another one. It decides by the text of the configuration alone.
package check

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"flamingospar.org/gateway/config"
	"flamingospar.org/platform/site"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	Invalid       Kind = "invalid"       // It is not applied, or not as written.
	NeverUsed     Kind = "never_used"    // An entry that no request can match.
	Contradictory Kind = "contradictory" // Limits that can't be kept together.
)

// Finding is something wrong with a configuration.
type Finding struct {
	Kind    Kind   `json:"kind"`
	Where   string `json:"where"` // Path of the entry, for example "routes.chat".
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// file holds the fields that are checked, under the names that the operator uses.
type file struct {
	Routes   []routeEntry   `json:"routes"`
	Services []serviceEntry `json:"services"`
	Teams    []teamEntry    `json:"tenants"`
}

type routeEntry struct {
	Name        string         `json:"name"`
	Host        string         `json:"host"`
	PathPrefix  string         `json:"path_prefix"`
	Kind        site.RouteKind `json:"kind"`
	TimeoutMS   float64        `json:"timeout_ms"`
	ObjectiveMS float64        `json:"goal_ms"`
	Service     string         `json:"service"`
	Targets     []targetEntry  `json:"split"`
}

type targetEntry struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

type serviceEntry struct {
	Name  string `json:"name"`
	Scale *struct {
		Min int `json:"min"`
		Max int `json:"max"`
	} `json:"scale"`
}

type teamEntry struct {
	Name      string   `json:"name"`
	APIKeys   []string `json:"api_keys"`
	PerSecond float64  `json:"per_s"`
	Burst     float64  `json:"burst"`
}

// services returns the services to which a route sends requests.
func (r routeEntry) services() []string {
	if len(r.Targets) == 0 {
		return []string{r.Service}
	}
	services := make([]string, 0, len(r.Targets))
	for _, target := range r.Targets {
		services = append(services, target.Service)
	}
	return services
}

// Check returns the findings about a configuration as the operator wrote it, in the order
// of its entries. One that can't be parsed has a single finding.
func Check(raw []byte) []Finding {
	var f file
	if _, err := config.New(raw); err != nil {
		return []Finding{{Kind: Invalid, Where: "configuration", Problem: err.Error(), Remedy: "correct it before it is published"}}
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return []Finding{{Kind: Invalid, Where: "configuration", Problem: "a field has another type", Remedy: "correct it before it is published"}}
	}
	return slices.Concat(checkNumbers(raw), f.checkRoutes(), f.checkServices(), f.checkTeams())
}

// CheckOrder returns a finding if a configuration would not be applied in place of the one
// in force.
func CheckOrder(next, inForce site.Manifest) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Kind: Invalid, Where: "version", Problem: fmt.Sprintf("version %d is not newer than version %d, which is in force, so it is not applied", next.Version, inForce.Version),
		Remedy: "raise the version",
	}}
}

func (f file) checkRoutes() []Finding {
	var findings []Finding
	services := make(map[string]bool)
	for _, service := range f.Services {
		services[service.Name] = true
	}
	first := make(map[string]string) // Name of the first route by host and prefix.
	names := make(map[string]bool)
	for i, route := range f.Routes {
		where := place("routes", route.Name, i)
		if names[route.Name] {
			findings = append(findings, Finding{Invalid, where, "another route has the same name, so that their requests can't be told apart in logs", "give each route a name of its own"})
		}
		names[route.Name] = true
		key := strings.ToLower(route.Host) + " " + route.PathPrefix
		if earlier, ok := first[key]; ok {
			findings = append(findings, Finding{NeverUsed, where, "route " + earlier + " before it has the same host and path prefix and gets all requests", "remove one of them, or give them different hosts or prefixes"})
		} else {
			first[key] = route.Name
		}
		findings = append(findings, route.check(where, services)...)
	}
	return findings
}

// check returns the findings about a route alone.
func (r routeEntry) check(where string, known map[string]bool) []Finding {
	var findings []Finding
	if !slices.Contains([]site.RouteKind{site.Idempotent, site.NonIdempotent, site.Stream}, r.Kind) {
		findings = append(findings, Finding{Invalid, where + ".kind", fmt.Sprintf("kind %q is unknown", r.Kind), fmt.Sprintf("use %s, %s or %s", site.Idempotent, site.NonIdempotent, site.Stream)})
	}
	for _, service := range r.services() {
		if !known[service] {
			findings = append(findings, Finding{Invalid, where, fmt.Sprintf("service %q is not listed", service), "list the service, or correct its name"})
		}
	}
	if r.TimeoutMS > 0 && r.ObjectiveMS > r.TimeoutMS {
		findings = append(findings, Finding{Contradictory, where + ".goal_ms", fmt.Sprintf("the objective of %g ms is above the timeout of %g ms", r.ObjectiveMS, r.TimeoutMS), "raise timeout_ms or lower goal_ms"})
	}
	if len(r.Targets) > 0 && !slices.ContainsFunc(r.Targets, func(t targetEntry) bool { return t.Weight > 0 }) {
		findings = append(findings, Finding{Contradictory, where + ".split", "no weight is above 0", "give a service to which requests are to be sent a weight"})
	}
	return findings
}

func (f file) checkServices() []Finding {
	var findings []Finding
	used := make(map[string]bool)
	for _, route := range f.Routes {
		for _, service := range route.services() {
			used[service] = true
		}
	}
	names := make(map[string]bool)
	for i, service := range f.Services {
		where := place("services", service.Name, i)
		if names[service.Name] {
			findings = append(findings, Finding{Invalid, where, "another service has the same name, and only the last one is in force", "remove one of them"})
		}
		names[service.Name] = true
		if !used[service.Name] {
			findings = append(findings, Finding{NeverUsed, where, "no route sends requests to it", "add a route, or remove the service"})
		}
		if service.Scale != nil && service.Scale.Min > service.Scale.Max {
			findings = append(findings, Finding{Contradictory, where + ".scale", fmt.Sprintf("min %d is above max %d", service.Scale.Min, service.Scale.Max), "lower min or raise max"})
		}
	}
	return findings
}

func (f file) checkTeams() []Finding {
	var findings []Finding
	owners := make(map[string]string) // Name of the first team by key.
	names := make(map[string]bool)
	for i, team := range f.Teams {
		where := place("tenants", team.Name, i)
		if names[team.Name] {
			findings = append(findings, Finding{Invalid, where, "another team has the same name, so that their usage is counted together", "give each team a name of its own"})
		}
		names[team.Name] = true
		if len(team.APIKeys) == 0 {
			findings = append(findings, Finding{NeverUsed, where, "it has no key, so that no request can be its own", "give it a key, or remove it"})
		}
		if team.PerSecond > 0 && team.Burst == 0 {
			findings = append(findings, Finding{Contradictory, where + ".burst", fmt.Sprintf("per_s is %g, but burst is 0", team.PerSecond), "set burst, for example to per_s"})
		}
		findings = append(findings, team.checkKeys(where, owners)...)
	}
	return findings
}

// checkKeys returns the findings about the keys of a team. It names them by their position,
// since they are secret.
func (t teamEntry) checkKeys(where string, owners map[string]string) []Finding {
	var findings []Finding
	for i, key := range t.APIKeys {
		at := fmt.Sprintf("%s.api_keys[%d]", where, i)
		if key == "" {
			findings = append(findings, Finding{Invalid, at, "the key is empty", "remove it"})
			continue
		}
		if owner, ok := owners[key]; ok {
			findings = append(findings, Finding{Invalid, at, "team " + owner + " has the same key, and requests with it belong to the last team that lists it", "issue another key to one of them"})
			continue
		}
		owners[key] = t.Name
	}
	return findings
}

// checkNumbers returns a finding for each number below 0: none of the fields has a meaning
// for one.
func checkNumbers(raw []byte) []Finding {
	var findings []Finding
	for path, value := range values(raw) {
		if number, ok := value.(float64); ok && number < 0 {
			findings = append(findings, Finding{Invalid, path, fmt.Sprintf("the number %g is negative", number), "use 0 or a positive number"})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.Where, b.Where) })
	return findings
}

// place returns the path of an entry: by its name, or by its position if it has none.
func place(list, name string, position int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", list, position)
	}
	return list + "." + name
}
