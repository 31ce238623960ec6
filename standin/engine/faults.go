package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"strings"
	"time"
)

// Faults are the failures in force at an engine.
type Faults struct {
	// Poison is a part of a prompt that crashes the engine; empty: none.
	Poison string
	// Crash is called, once for each poisoned run, when it would begin. It must
	// not call the engine.
	Crash func()
	// Slow is added to each step.
	Slow time.Duration
	// Mute makes the engine send no more on open answers.
	Mute bool
	// Variant changes the answers, as another version of the model would.
	Variant string
}

// SetFaults puts faults in force from now on.
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

// crashes reports whether the prompt crashes the engine, and lets it.
func (e *Engine) crashes(prompt string) bool {
	faults := e.currentFaults()
	if faults.Poison == "" || !strings.Contains(prompt, faults.Poison) {
		return false
	}
	if faults.Crash != nil {
		faults.Crash()
	}
	return true
}

// Prompts returns how often a run of each prompt was begun here.
func (e *Engine) Prompts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.prompts)
}

// continues reports whether the engine's own first tokens are the text that
// the digest names.
func continues(prompt string, tokens int, digest string) bool {
	own := sha256.Sum256([]byte(Text(prompt, tokens)))
	return digest == hex.EncodeToString(own[:])
}
