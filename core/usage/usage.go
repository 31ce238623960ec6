// Package usage defines the figures by which teams are billed and the rules for
// adding them up per window: what a run is billed, when a record is a duplicate
// and which window a late record goes into.
package usage

import "time"

// Figures counts what was served. Counts never decrease.
type Figures struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"` // Included in PromptTokens.
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

// Tokens returns the sum of prompt and output tokens.
func (f Figures) Tokens() int64 { return f.PromptTokens + f.OutputTokens }

// Window is the number of a time window of fixed length. Window n starts at n
// times the length since the Unix epoch.
type Window int64

// WindowAt returns the window that contains the time at.
func WindowAt(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// End returns the first instant after the window.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// Record is one run to be billed. The agent that ran it numbers its records from
// 1 without gaps, so (Source, Sequence) identifies the run even if several
// processes write the record.
type Record struct {
	Source   string // Instance ID of the agent.
	Sequence int64
	Window   Window // The window in which the run ended, by the agent's clock.
	Team     string
	Figures  Figures
}

// Batch holds the records that one writer stores at once. (Instance, Sequence) is
// unique. The records of a batch are all of one window and never change.
type Batch struct {
	Instance string
	Sequence int64
	Window   Window
	Records  []Record
}
