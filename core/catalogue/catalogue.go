// Package catalogue defines the configuration that operators edit: teams, models,
// services, routes and endpoint kinds. A document is read from TOML, checked as a
// whole and stored as JSON in the platform's table service.
package catalogue

import "time"

// Document is a complete catalogue.
type Document struct {
	Teams     []Team     `toml:"team" json:"teams"`
	Models    []Model    `toml:"model" json:"models"`
	Services  []Service  `toml:"service" json:"services"`
	Routes    []Route    `toml:"route" json:"routes"`
	Endpoints []Endpoint `toml:"endpoint" json:"endpoints"`
}

// Class is the priority class of requests under contention.
type Class string

// The classes, most urgent first.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Limits bound the use of one catalogue entry. An absent key means no limit; Check
// and ParseJSON reject an explicit zero.
type Limits struct {
	RequestsPerSecond float64 `toml:"requests_per_second,omitempty" json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `toml:"tokens_per_second,omitempty" json:"tokens_per_second,omitempty"`
	Concurrent        int     `toml:"concurrent,omitempty" json:"concurrent,omitempty"`
}

// Team is a customer. Weight is its share relative to other teams.
type Team struct {
	Name   string  `toml:"name" json:"name"`
	Weight float64 `toml:"weight" json:"weight"`
	Limits *Limits `toml:"limits" json:"limits,omitempty"`
}

// Model is a language model served by endpoints.
type Model struct {
	Name    string  `toml:"name" json:"name"`
	Owner   string  `toml:"owner" json:"owner"`
	Class   Class   `toml:"class" json:"class"`
	Version string  `toml:"version" json:"version"`
	Limits  *Limits `toml:"limits" json:"limits,omitempty"`
}

// Service is an application service other than the model engines.
type Service struct {
	Name   string  `toml:"name" json:"name"`
	Owner  string  `toml:"owner" json:"owner"`
	Class  Class   `toml:"class" json:"class"`
	Limits *Limits `toml:"limits" json:"limits,omitempty"`
}

// Route maps request paths to a service. The routes for models are built in.
type Route struct {
	Name       string   `toml:"name" json:"name"`
	Owner      string   `toml:"owner" json:"owner"`
	Class      Class    `toml:"class" json:"class"`
	Path       string   `toml:"path" json:"path"` // Prefix of the request path.
	Methods    []string `toml:"methods" json:"methods"`
	Service    string   `toml:"service" json:"service"`
	Repeatable bool     `toml:"repeatable" json:"repeatable"`
	Open       bool     `toml:"open" json:"open"`
	Deadline   Duration `toml:"deadline,omitempty" json:"deadline"`
	Limits     *Limits  `toml:"limits" json:"limits,omitempty"`
}

// Endpoint describes the endpoints of one kind.
type Endpoint struct {
	Kind          string  `toml:"kind" json:"kind"`
	Owner         string  `toml:"owner" json:"owner"`
	Class         Class   `toml:"class" json:"class"`
	ChecksFencing bool    `toml:"checks_fencing" json:"checks_fencing"`
	Limits        *Limits `toml:"limits" json:"limits,omitempty"`
}

// Duration is a time.Duration written as "1.5s" in TOML and JSON.
type Duration time.Duration

func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// FindModel returns the model with the given name.
func (d *Document) FindModel(name string) (Model, bool) {
	for _, model := range d.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// FindTeam returns the team with the given name.
func (d *Document) FindTeam(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// FindRoute returns the route with the longest path that is a prefix of path. A
// route's path matches only whole path segments.
func (d *Document) FindRoute(path string) (Route, bool) {
	best := -1
	for i, route := range d.Routes {
		if !hasPathPrefix(route.Path, path) {
			continue
		}
		if best < 0 || len(route.Path) > len(d.Routes[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return d.Routes[best], true
}

func hasPathPrefix(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
