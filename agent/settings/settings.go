// Package settings reads and checks the agent's TOML settings.
package settings

import (
	"bytes"
	"fmt"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"flamingospar.org/core/catalogue"
)

// Settings configures one agent process.
type Settings struct {
	Instance     string `toml:"instance"` // Empty: a new id at each start.
	DataCentre   string `toml:"data_centre"`
	Listen       string `toml:"listen"`        // Address for entries.
	Endpoint     string `toml:"endpoint"`      // The endpoint's id.
	EndpointURL  string `toml:"endpoint_url"`  // Base URL of the endpoint.
	EndpointKind string `toml:"endpoint_kind"` // "model" or the service's name.
	PlatformURL  string `toml:"platform_url"`
	Running      int    `toml:"running"` // Runs at once on the endpoint.
	Waiting      int    `toml:"waiting"` // Runs that may queue.
	// AnnounceTime is how long a leaving agent still listens, for the entries
	// to learn that it is leaving.
	AnnounceTime catalogue.Duration `toml:"announce_time"`
	Silence      Silence            `toml:"silence"`
	Usage        Usage              `toml:"usage"`
	Policy       Policy             `toml:"policy"`
}

// Default sizes of the queue.
const (
	DefaultRunning = 64
	DefaultWaiting = 256
)

// Problem is a fault in the settings.
type Problem struct {
	Key    string
	What   string
	Remedy string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("settings: %s: %s; remedy: %s", p.Key, p.What, p.Remedy)
}

// Parse reads strict TOML, fills defaults and checks the result.
func Parse(data []byte) (Settings, error) {
	settings := Settings{Running: DefaultRunning, Waiting: DefaultWaiting, Policy: DefaultPolicy()}.withRunDefaults()
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, err
	}
	return settings.Checked()
}

// Checked returns the settings with defaults filled, or the first problem.
func (s Settings) Checked() (Settings, error) {
	if s.Instance == "" {
		s.Instance = uuid.NewString()
	}
	s = s.withRunDefaults()
	s.Usage = s.Usage.withDefaults()
	required := []struct{ key, value string }{
		{"data_centre", s.DataCentre},
		{"listen", s.Listen},
		{"endpoint", s.Endpoint},
		{"endpoint_url", s.EndpointURL},
		{"endpoint_kind", s.EndpointKind},
	}
	for _, field := range required {
		if field.value == "" {
			return Settings{}, &Problem{Key: field.key, What: "is empty", Remedy: "set it in the settings file"}
		}
	}
	if s.Running <= 0 {
		return Settings{}, &Problem{Key: "running", What: "is not positive", Remedy: "set how many runs the endpoint takes at once"}
	}
	if s.Policy == (Policy{}) {
		s.Policy = DefaultPolicy()
	}
	if err := s.Policy.check(); err != nil {
		return Settings{}, err
	}
	return s, s.checkRuns()
}
