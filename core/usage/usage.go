// Package usage holds the figures that teams are billed by and the rules for
// adding them up per window: who counts a run, when a record is a duplicate and
// into which window a late record goes.
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

// Minus returns the difference.
func (f Figures) Minus(other Figures) Figures {
	return Figures{
		Requests:     f.Requests - other.Requests,
		PromptTokens: f.PromptTokens - other.PromptTokens,
		CachedTokens: f.CachedTokens - other.CachedTokens,
		OutputTokens: f.OutputTokens - other.OutputTokens,
	}
}

// Tokens returns prompt and output tokens together.
func (f Figures) Tokens() int64 { return f.PromptTokens + f.OutputTokens }

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

// Record is one run to be billed. The agent that ran it numbers its records
// from 1 without gaps: (Source, Sequence) identifies the run wherever the
// record is written, and however often.
type Record struct {
	Source   string // Instance of the agent.
	Sequence int64
	Window   Window // In which the run ended, by the agent's clock.
	Team     string
	Figures  Figures
}

// Batch is what one writer makes durable at once. (Instance, Sequence) is
// unique; the records of a batch never change. All are of one window.
type Batch struct {
	Instance string
	Sequence int64
	Window   Window
	Records  []Record
}
