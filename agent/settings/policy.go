package settings

import (
	"time"

	"flamingospar.org/core/admit"
)

// Policy configures the queue before the endpoint.
type Policy struct {
	// PromptRate is the engine's speed in prompt tokens a second, until observed.
	PromptRate float64 `toml:"prompt_rate"`
	// EngineBacklog is how many prompt tokens the engine holds ahead of need.
	EngineBacklog float64 `toml:"engine_backlog"`
	// TokenIntervalMillis bounds the time between two tokens of an answer.
	TokenIntervalMillis int64 `toml:"token_interval_millis"`
	// PromptPrice is the endpoint's time for one prompt token, in seconds.
	PromptPrice float64 `toml:"prompt_price"`
	// OutputPrice is the endpoint's time for one output token, in seconds.
	OutputPrice float64 `toml:"output_price"`
}

// DefaultPolicy returns a policy for an engine that produces about 1,000 output
// tokens per second.
func DefaultPolicy() Policy {
	gate := admit.DefaultGateSettings()
	return Policy{
		PromptRate:          gate.PromptRate,
		EngineBacklog:       gate.EngineBacklog,
		TokenIntervalMillis: gate.TokenInterval.Milliseconds(),
		PromptPrice:         gate.Prices.Prompt,
		OutputPrice:         gate.Prices.Output,
	}
}

// GateSettings returns the settings of the queue's admission gate.
func (s Settings) GateSettings() admit.GateSettings {
	gate := admit.DefaultGateSettings()
	gate.MaxRunning = s.Running
	gate.MaxWaiting = s.Waiting
	gate.PromptRate = s.Policy.PromptRate
	gate.EngineBacklog = s.Policy.EngineBacklog
	gate.TokenInterval = time.Duration(s.Policy.TokenIntervalMillis) * time.Millisecond
	gate.Prices = admit.Prices{Prompt: s.Policy.PromptPrice, Output: s.Policy.OutputPrice}
	return gate
}

func (p Policy) check() error {
	positive := []struct {
		key   string
		value float64
	}{
		{"policy.prompt_rate", p.PromptRate},
		{"policy.engine_backlog", p.EngineBacklog},
		{"policy.token_interval_millis", float64(p.TokenIntervalMillis)},
		{"policy.prompt_price", p.PromptPrice},
		{"policy.output_price", p.OutputPrice},
	}
	for _, field := range positive {
		if field.value <= 0 {
			return &Problem{Key: field.key, Message: "is not positive", Remedy: "write a positive number or leave the key out"}
		}
	}
	return nil
}
