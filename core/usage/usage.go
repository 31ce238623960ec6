// Package usage holds the figures that teams are billed by and the rules for
// adding them up per window.
package usage

import "time"

// Figures is what was served. All fields only grow.
type Figures struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"` // Part of PromptTokens.
	OutputTokens int64 `json:"output_tokens"`
}

// Plus returns the sum.
func (f Figures) Plus(other Figures) Figures {
	return Figures{
		Requests:     f.Requests + other.Requests,
		PromptTokens: f.PromptTokens + other.PromptTokens,
		CachedTokens: f.CachedTokens + other.CachedTokens,
		OutputTokens: f.OutputTokens + other.OutputTokens,
	}
}

// Window numbers fixed spans of time; window n starts at n times the length.
type Window int64

// WindowAt returns the window that holds the instant at.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the first instant after the window.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Record is one run to be billed. RunID makes it idempotent.
type Record struct {
	RunID   string  `json:"run_id"`
	Team    string  `json:"team"`
	Figures Figures `json:"figures"`
}

// Batch is what one writer makes durable at once. (Instance, Sequence) is unique.
type Batch struct {
	Instance string   `json:"instance"`
	Sequence int64    `json:"sequence"`
	Window   Window   `json:"window"`
	Records  []Record `json:"records"`
}

// Sum adds the records of batches per team, counting each run id once.
func Sum(batches []Batch) map[string]Figures {
	totals := make(map[string]Figures)
	seen := make(map[string]bool)
	for _, batch := range batches {
		for _, record := range batch.Records {
			if seen[record.RunID] {
				continue
			}
			seen[record.RunID] = true
			totals[record.Team] = totals[record.Team].Plus(record.Figures)
		}
	}
	return totals
}
