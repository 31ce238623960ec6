package account

import (
	"sync"

	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
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

// Wire returns all counts as messages.
func (c *Counts) Wire() []*wirev1.UsageCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make([]*wirev1.UsageCount, 0, len(c.figures))
	for key, figures := range c.figures {
		counts = append(counts, &wirev1.UsageCount{
			Window: int64(key.Window),
			Team:   key.Team,
			Figures: &wirev1.UsageFigures{
				Requests:     figures.Requests,
				PromptTokens: figures.PromptTokens,
				CachedTokens: figures.CachedTokens,
				OutputTokens: figures.OutputTokens,
			},
		})
	}
	return counts
}
