package account

import (
	"sync"

	"flamingospar.org/core/usage"
)

// countedWindows is how many windows the counts cover.
const countedWindows = 30

// CountKey names one team in one window.
type CountKey struct {
	Window usage.Window
	Team   string
}

// Counts is what this entry counted in the last windows, for reconciliation.
type Counts struct {
	mu      sync.Mutex
	newest  usage.Window
	figures map[CountKey]usage.Figures
}

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{figures: make(map[CountKey]usage.Figures)} }

// Add counts a record.
func (c *Counts) Add(record usage.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := CountKey{Window: record.Window, Team: record.Team}
	c.figures[key] = c.figures[key].Plus(record.Figures)
	if record.Window > c.newest {
		c.newest = record.Window
		c.forget()
	}
}

func (c *Counts) forget() {
	for key := range c.figures {
		if key.Window <= c.newest-countedWindows {
			delete(c.figures, key)
		}
	}
}

// Of returns the figures of one window by team.
func (c *Counts) Of(window usage.Window) map[string]usage.Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	teams := make(map[string]usage.Figures)
	for key, figures := range c.figures {
		if key.Window == window {
			teams[key.Team] = figures
		}
	}
	return teams
}
