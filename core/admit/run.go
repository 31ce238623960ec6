package admit

import (
	"time"

	"flamingospar.org/core/fair"
)

// Prices are the costs of a token in seconds of endpoint time.
type Prices struct {
	Prompt float64 `toml:"prompt"`
	Output float64 `toml:"output"`
}

// Cost returns the service that a run with these tokens takes, in seconds of
// endpoint time.
func (p Prices) Cost(prompt, output float64) float64 {
	return prompt*p.Prompt + output*p.Output
}

// GateSettings configures a Gate.
type GateSettings struct {
	MaxRunning         int           // Runs on the endpoint at the same time.
	MaxWaiting         int           // Length limit of the queue.
	EngineBacklog      float64       // Prompt tokens on the engine at which no further run is started.
	PromptRate         float64       // Initial estimate in prompt tokens per second, until observed.
	TokenInterval      time.Duration // Maximum time between the tokens of one answer.
	Prices             Prices
	UrgentSlotFraction float64 // Fraction of the slots reserved for the most urgent class.
	FIFO               bool    // Serve in arrival order, without early refusals.
	ShortestFirst      bool    // Within a team, serve the run with the least work first.
}

// DefaultGateSettings returns settings for an engine of about 1,000 output tokens
// per second.
func DefaultGateSettings() GateSettings {
	return GateSettings{
		MaxRunning:         64,
		MaxWaiting:         256,
		EngineBacklog:      768,
		PromptRate:         7500,
		TokenInterval:      73 * time.Millisecond,
		UrgentSlotFraction: 0.25,
		Prices:             Prices{Prompt: 50e-6, Output: 634e-6},
	}
}

// Run describes a run to a Gate.
type Run struct {
	ID                 string
	Team               string
	Weight             float64
	Class              fair.Class
	PromptTokens       float64 // Prompt tokens to process, without cached ones.
	OutputTokens       float64 // Predicted.
	FirstTokenDeadline time.Duration
	HasDeadline        bool // Whether FirstTokenDeadline is set.
}

// urgentTokens returns the prompt tokens of a run of the most urgent class, and 0 for
// other classes.
func (r Run) urgentTokens() float64 {
	if r.Class > 0 {
		return 0
	}
	return r.PromptTokens
}

// Refused is a run that the gate refused. It was never started.
type Refused struct {
	ID       string
	Decision Decision
}
