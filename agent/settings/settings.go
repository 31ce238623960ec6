// Package settings reads and checks the agent's TOML settings.
package settings

import (
	"github.com/google/uuid"

	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/strict"
)

// Settings configures one agent process.
type Settings struct {
	Instance     string `toml:"instance"`      // Id of this process; empty: a new one at each start.
	DataCentre   string `toml:"data_centre"`   // Data centre of this VM.
	Listen       string `toml:"listen"`        // Address for entries.
	Endpoint     string `toml:"endpoint"`      // The endpoint's id.
	EndpointURL  string `toml:"endpoint_url"`  // Base URL of the endpoint.
	EndpointKind string `toml:"endpoint_kind"` // "model" or the service's name.
	PlatformURL  string `toml:"platform_url"`  // Base URL of the platform.
	Running      int    `toml:"running"`       // Runs at once on the endpoint.
	Waiting      int    `toml:"waiting"`       // Runs that may queue.
	// AnnounceTime is how long a leaving agent still listens, for the entries
	// to learn that it is leaving.
	AnnounceTime catalogue.Duration `toml:"announce_time"`
	Silence      Silence            `toml:"silence"`
	Usage        Usage              `toml:"usage"`
	Policy       Policy             `toml:"policy"`
	TLS          tlsfiles.Files     `toml:"tls"`
}

// Defaults of the concurrency limit and the queue length.
const (
	DefaultRunning = 64
	DefaultWaiting = 256
)

// Problem is an error in the settings.
type Problem = strict.SettingProblem

// Defaults returns the values of settings that a file leaves out.
func Defaults() Settings {
	return Settings{Running: DefaultRunning, Waiting: DefaultWaiting, Policy: DefaultPolicy(), Usage: Usage{}.withDefaults()}.withRunDefaults()
}

// Parse decodes strict TOML over the defaults, applies the overrides by key and
// checks the result. file is the name used in errors.
func Parse(file string, data []byte, overrides map[string]string) (Settings, error) {
	settings, found := strict.DecodeSettings(file, data, Defaults(), overrides)
	if len(found) > 0 {
		return Settings{}, found
	}
	return settings.Checked()
}

// Checked returns the settings with missing values set to their defaults, or the
// first problem.
func (s Settings) Checked() (Settings, error) {
	if s.Instance == "" {
		s.Instance = uuid.NewString()
	}
	s = s.withRunDefaults()
	s.Usage = s.Usage.withDefaults()
	err := strict.CheckRequired(
		strict.RequiredSetting{Key: "data_centre", Value: s.DataCentre},
		strict.RequiredSetting{Key: "listen", Value: s.Listen},
		strict.RequiredSetting{Key: "endpoint", Value: s.Endpoint},
		strict.RequiredSetting{Key: "endpoint_url", Value: s.EndpointURL},
		strict.RequiredSetting{Key: "endpoint_kind", Value: s.EndpointKind},
	)
	if err != nil {
		return Settings{}, err
	}
	if s.Running <= 0 {
		return Settings{}, &Problem{Key: "running", Message: "is not positive", Remedy: "set how many runs the endpoint takes at once"}
	}
	if err := s.TLS.Check(); err != nil {
		return Settings{}, err
	}
	if s.Policy == (Policy{}) {
		s.Policy = DefaultPolicy()
	}
	if err := s.Policy.check(); err != nil {
		return Settings{}, err
	}
	return s, s.checkRuns()
}
