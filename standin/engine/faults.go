package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"time"
)

// Faults are the faults injected into an engine.
type Faults struct {
	// Poison is a substring that crashes the engine if a prompt contains it; empty
	// means none.
	Poison string
	// Crash is called once for each run whose prompt contains Poison, right after
	// the run is queued. It must not call the engine.
	Crash func()
	// StepDelay is added to the duration of each step.
	StepDelay time.Duration
	// StallStreams makes the engine send nothing more on open response streams and
	// leave them open.
	StallStreams bool
	// Variant changes the output, as another version of the model would.
	Variant string
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// crashIfPoisoned calls Faults.Crash if the prompt contains Faults.Poison, and
// reports whether it does.
func (e *Engine) crashIfPoisoned(prompt string) bool {
	faults := e.currentFaults()
	if faults.Poison == "" || !strings.Contains(prompt, faults.Poison) {
		return false
	}
	if faults.Crash != nil {
		faults.Crash()
	}
	return true
}

// PromptCounts returns how often this engine started a run, by prompt.
func (e *Engine) PromptCounts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.promptCounts)
}

// matchesDigest reports whether digest is the hex SHA-256 of the text that this
// engine generates for the first tokens of the output.
func matchesDigest(prompt string, tokens int, digest string) bool {
	sum := sha256.Sum256([]byte(Text(prompt, tokens)))
	return digest == hex.EncodeToString(sum[:])
}
