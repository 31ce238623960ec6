// Package settings reads and checks the entry's TOML settings.
package settings

import (
	"time"

	"github.com/google/uuid"

	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/strict"
)

// Settings configures one entry process.
type Settings struct {
	Instance       string             `toml:"instance"`        // Id of this process; empty: a new one at each start.
	DataCentre     string             `toml:"data_centre"`     // Data centre of this VM.
	Listen         string             `toml:"listen"`          // Callers' address, host:port.
	OperatorListen string             `toml:"operator_listen"` // Operators' address, host:port.
	PlatformURL    string             `toml:"platform_url"`    // Base URL of the platform.
	MaxBodyBytes   int64              `toml:"max_body_bytes"`  // Largest body of a request, in bytes.
	BodyTimeout    catalogue.Duration `toml:"body_time"`       // Longest time from a request's arrival to the end of its body.
	Deadline       catalogue.Duration `toml:"deadline"`        // Deadline of requests on routes without one.
	UsageWindow    catalogue.Duration `toml:"usage_window"`    // Length of a usage window.
	UsageFlush     catalogue.Duration `toml:"usage_flush"`     // Time between usage batches.
	UsageGrace     catalogue.Duration `toml:"usage_grace"`     // Time after a window's end before it is sealed.
	DrainTimeout   catalogue.Duration `toml:"drain_time"`      // Longest time that a stopping entry finishes requests.
	Operators      Operators          `toml:"operators"`
	// AnnounceTime is how long a leaving entry, no longer ready, still takes
	// connections, for the balancer to notice.
	AnnounceTime catalogue.Duration `toml:"announce_time"`
	// ClaimRetention is how long an idempotency key's answer is kept.
	ClaimRetention catalogue.Duration `toml:"claim_retention"`
	Authority      Authority          `toml:"authority"`
	Policy         Policy             `toml:"policy"`
	TLS            tlsfiles.Files     `toml:"tls"`
	Usage          Usage              `toml:"usage"`
}

// Operators says who may use the operators' address. Exactly one is set.
type Operators struct {
	File string `toml:"file"` // TOML file of operators and their credentials, read again when it changes.
	Open bool   `toml:"open"` // True: everybody who reaches the operators' address may do all; for dev and tests.
}

// Defaults returns the values of settings that a file does not set.
func Defaults() Settings {
	return Settings{
		MaxBodyBytes: 8 << 20,
		BodyTimeout:  catalogue.Duration(30 * time.Second),
		Deadline:     catalogue.Duration(2 * time.Minute),
		UsageWindow:  catalogue.Duration(time.Minute),
		UsageFlush:   catalogue.Duration(5 * time.Second),
		UsageGrace:   catalogue.Duration(15 * time.Second),
		DrainTimeout: catalogue.Duration(2 * time.Minute),
		AnnounceTime: catalogue.Duration(5 * time.Second),

		ClaimRetention: catalogue.Duration(24 * time.Hour),
		Usage:          defaultUsage(),
		Policy:         DefaultPolicy(),
	}
}

// Problem is an error in the settings.
type Problem = strict.SettingProblem

// Parse decodes strict TOML on top of the defaults, applies overrides by key and
// validates the result. file is the file name in errors.
func Parse(file string, data []byte, overrides map[string]string) (Settings, error) {
	settings, problems := strict.DecodeSettings(file, data, Defaults(), overrides)
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return settings.Checked()
}

// Checked returns the settings with an instance ID set, or the first problem.
func (s Settings) Checked() (Settings, error) {
	if s.Instance == "" {
		s.Instance = uuid.NewString()
	}
	err := strict.CheckRequired(
		strict.RequiredSetting{Key: "data_centre", Value: s.DataCentre},
		strict.RequiredSetting{Key: "listen", Value: s.Listen},
		strict.RequiredSetting{Key: "operator_listen", Value: s.OperatorListen},
		strict.RequiredSetting{Key: "platform_url", Value: s.PlatformURL},
	)
	if err != nil {
		return Settings{}, err
	}
	durations := []struct {
		key   string
		value catalogue.Duration
	}{
		{"body_time", s.BodyTimeout},
		{"deadline", s.Deadline},
		{"usage_window", s.UsageWindow},
		{"usage_flush", s.UsageFlush},
		{"usage_grace", s.UsageGrace},
		{"drain_time", s.DrainTimeout},
		{"announce_time", s.AnnounceTime},
		{"claim_retention", s.ClaimRetention},
		{"usage.idle_close", s.Usage.IdleClose},
		{"usage.remember", s.Usage.Remember},
		{"usage.keep", s.Usage.Keep},
	}
	for _, field := range durations {
		if field.value <= 0 {
			return Settings{}, &Problem{Key: field.key, Message: "is not positive", Remedy: `write a duration such as "5s"`}
		}
	}
	if s.MaxBodyBytes <= 0 {
		return Settings{}, &Problem{Key: "max_body_bytes", Message: "is not positive", Remedy: "write a number of bytes"}
	}
	if (s.Operators.File == "") != s.Operators.Open {
		return Settings{}, &Problem{Key: "operators", Message: "exactly one of file and open must be set", Remedy: "set operators.file, or operators.open = true where nobody else reaches the operators' address"}
	}
	if err := s.TLS.Check(); err != nil {
		return Settings{}, err
	}
	if err := s.Policy.check(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
