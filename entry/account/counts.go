package account

import (
	"sync"

	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// retainedWindows is the number of windows for which counts are kept.
const retainedWindows = 30

// CountKey identifies a team and a window.
type CountKey struct {
	Window usage.Window
	Team   string
}

// Counts holds the usage that this entry counted in the last windows, for
// reconciliation.
type Counts struct {
	mu           sync.Mutex
	newestWindow usage.Window
	figures      map[CountKey]usage.Figures
}

// NewCounts returns empty counts.
func NewCounts() *Counts { return &Counts{figures: make(map[CountKey]usage.Figures)} }

// Add adds a record to the counts.
func (c *Counts) Add(record usage.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := CountKey{Window: record.Window, Team: record.Team}
	c.figures[key] = c.figures[key].Plus(record.Figures)
	if record.Window > c.newestWindow {
		c.newestWindow = record.Window
		c.dropOldCounts()
	}
}

func (c *Counts) dropOldCounts() {
	for key := range c.figures {
		if key.Window <= c.newestWindow-retainedWindows {
			delete(c.figures, key)
		}
	}
}

// ToWire returns all counts as wire messages.
func (c *Counts) ToWire() []*wirev1.UsageCount {
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
