// Package settings reads and checks the entry's TOML settings.
package settings

import (
	"bytes"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pelletier/go-toml/v2"

	"flamingospar.org/core/catalogue"
)

// Settings configures one entry process.
type Settings struct {
	Instance       string             `toml:"instance"` // Empty: a new id at each start.
	DataCentre     string             `toml:"data_centre"`
	Listen         string             `toml:"listen"`          // Callers' address.
	OperatorListen string             `toml:"operator_listen"` // Operators' address.
	PlatformURL    string             `toml:"platform_url"`
	MaxBodyBytes   int64              `toml:"max_body_bytes"`
	BodyTime       catalogue.Duration `toml:"body_time"`      // For reading a body.
	Deadline       catalogue.Duration `toml:"deadline"`       // For routes without one.
	UsageWindow    catalogue.Duration `toml:"usage_window"`   // Length of a window.
	UsageFlush     catalogue.Duration `toml:"usage_flush"`    // Between batches.
	UsageGrace     catalogue.Duration `toml:"usage_grace"`    // After a window's end.
	OperatorToken  string             `toml:"operator_token"` // Empty: no token is asked.
	DrainTime      catalogue.Duration `toml:"drain_time"`     // Before an exit.
	// AnnounceTime is how long a leaving entry, no longer ready, still takes
	// connections, for the balancer to notice.
	AnnounceTime catalogue.Duration `toml:"announce_time"`
	// ClaimRetention is how long an idempotency key's answer is kept.
	ClaimRetention catalogue.Duration `toml:"claim_retention"`
	Usage          Usage              `toml:"usage"`
	Authority      Authority          `toml:"authority"`
	Policy         Policy             `toml:"policy"`
}

// Defaults returns the settings that hold where a file says nothing.
func Defaults() Settings {
	return Settings{
		MaxBodyBytes: 8 << 20,
		BodyTime:     catalogue.Duration(30 * time.Second),
		Deadline:     catalogue.Duration(2 * time.Minute),
		UsageWindow:  catalogue.Duration(time.Minute),
		UsageFlush:   catalogue.Duration(5 * time.Second),
		UsageGrace:   catalogue.Duration(15 * time.Second),
		DrainTime:    catalogue.Duration(2 * time.Minute),
		AnnounceTime: catalogue.Duration(5 * time.Second),

		ClaimRetention: catalogue.Duration(24 * time.Hour),
		Usage:          defaultUsage(),
		Policy:         DefaultPolicy(),
	}
}

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

// Parse reads strict TOML over the defaults and checks the result.
func Parse(data []byte) (Settings, error) {
	settings := Defaults()
	decoder := toml.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&settings); err != nil {
		return Settings{}, err
	}
	return settings.Checked()
}

// Checked returns the settings with an instance id, or the first problem.
func (s Settings) Checked() (Settings, error) {
	if s.Instance == "" {
		s.Instance = uuid.NewString()
	}
	required := []struct{ key, value string }{
		{"data_centre", s.DataCentre},
		{"listen", s.Listen},
		{"operator_listen", s.OperatorListen},
		{"platform_url", s.PlatformURL},
	}
	for _, field := range required {
		if field.value == "" {
			return Settings{}, &Problem{Key: field.key, What: "is empty", Remedy: "set it in the settings file"}
		}
	}
	spans := []struct {
		key  string
		span catalogue.Duration
	}{
		{"body_time", s.BodyTime},
		{"deadline", s.Deadline},
		{"usage_window", s.UsageWindow},
		{"usage_flush", s.UsageFlush},
		{"usage_grace", s.UsageGrace},
		{"drain_time", s.DrainTime},
		{"announce_time", s.AnnounceTime},
		{"claim_retention", s.ClaimRetention},
		{"usage.idle_close", s.Usage.IdleClose},
		{"usage.remember", s.Usage.Remember},
		{"usage.keep", s.Usage.Keep},
	}
	for _, field := range spans {
		if field.span <= 0 {
			return Settings{}, &Problem{Key: field.key, What: "is not positive", Remedy: `write a span such as "5s"`}
		}
	}
	if s.MaxBodyBytes <= 0 {
		return Settings{}, &Problem{Key: "max_body_bytes", What: "is not positive", Remedy: "write a number of bytes"}
	}
	if err := s.Policy.check(); err != nil {
		return Settings{}, err
	}
	return s, nil
}
