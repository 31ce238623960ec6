// Package catalogue holds what operators edit: teams, models, services, routes
// and facts about endpoints. A document is read from TOML, checked as a whole,
// and kept as JSON in the platform's table service.
package catalogue

import "time"

// Document is one whole catalogue.
type Document struct {
	Teams     []Team     `toml:"team" json:"teams"`
	Models    []Model    `toml:"model" json:"models"`
	Services  []Service  `toml:"service" json:"services"`
	Routes    []Route    `toml:"route" json:"routes"`
	Endpoints []Endpoint `toml:"endpoint" json:"endpoints"`
}

// Class orders requests under contention.
type Class string

// The classes, most urgent first.
const (
	Interactive Class = "interactive"
	Standard    Class = "standard"
	Batch       Class = "batch"
)

// Limits bound what one entry of the catalogue may use. A written zero is
// refused by the check; an absent key means no limit.
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

// Service is a plain application service beside the engines.
type Service struct {
	Name   string  `toml:"name" json:"name"`
	Owner  string  `toml:"owner" json:"owner"`
	Class  Class   `toml:"class" json:"class"`
	Limits *Limits `toml:"limits" json:"limits,omitempty"`
}

// Route maps callers' paths to a service. Model routes are built in.
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

// Endpoint states facts about the endpoints of a kind.
type Endpoint struct {
	Kind          string  `toml:"kind" json:"kind"`
	Owner         string  `toml:"owner" json:"owner"`
	Class         Class   `toml:"class" json:"class"`
	ChecksFencing bool    `toml:"checks_fencing" json:"checks_fencing"`
	Limits        *Limits `toml:"limits" json:"limits,omitempty"`
}

// Duration is a time.Duration written as "1.5s" in TOML and JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// FindModel returns the model with a name.
func (d *Document) FindModel(name string) (Model, bool) {
	for _, model := range d.Models {
		if model.Name == name {
			return model, true
		}
	}
	return Model{}, false
}

// FindTeam returns the team with a name.
func (d *Document) FindTeam(name string) (Team, bool) {
	for _, team := range d.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}

// FindRoute returns the route with the longest path that is a prefix of path.
// A route's path matches whole segments only.
func (d *Document) FindRoute(path string) (Route, bool) {
	best := -1
	for i, route := range d.Routes {
		if !coversPath(route.Path, path) {
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

func coversPath(prefix, path string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}
