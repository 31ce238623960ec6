package settings

import (
	"time"

	"flamingospar.org/core/catalogue"
)

// Usage configures how the agent keeps usage records.
type Usage struct {
	// Hold is how long an entry has to show a record durable before the agent
	// writes it.
	Hold catalogue.Duration `toml:"hold"`
}

// defaultUsageHold allows several flush attempts by an entry.
const defaultUsageHold = 45 * time.Second

func (u Usage) withDefaults() Usage {
	if u.Hold == 0 {
		u.Hold = catalogue.Duration(defaultUsageHold)
	}
	return u
}
