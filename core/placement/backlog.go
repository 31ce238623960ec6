package placement

import "time"

// Levels is the number of priorities that an engine orders prompts by.
const Levels = 10

// Backlog estimates the prompt tokens that an engine has yet to read, by
// priority. The engine reads the most urgent first, at a rate that the caller
// of each method gives.
type Backlog struct {
	tokens  [Levels]float64
	prompts [Levels]int // Prompts sent whose reading has not been seen to end.
	at      time.Time
}

// drain takes off what the engine has read since the last call.
func (b *Backlog) drain(now time.Time, tokensPerMS float64) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	read := float64(now.Sub(b.at)) / float64(time.Millisecond) * tokensPerMS
	b.at = now
	for level := range b.tokens {
		taken := min(read, b.tokens[level])
		b.tokens[level] -= taken
		read -= taken
	}
}

// Add notes a prompt that was sent to the engine.
func (b *Backlog) Add(now time.Time, tokensPerMS float64, level int, tokens float64) {
	b.drain(now, tokensPerMS)
	b.tokens[level] += tokens
	b.prompts[level]++
}

// Done notes that the engine has read a prompt, or will not. With no prompt of
// the level left, none of its tokens are.
func (b *Backlog) Done(now time.Time, tokensPerMS float64, level int) {
	b.drain(now, tokensPerMS)
	b.prompts[level] = max(b.prompts[level]-1, 0)
	if b.prompts[level] == 0 {
		b.tokens[level] = 0
	}
}

// Ahead returns the tokens that are read before a prompt of a level sent now.
func (b *Backlog) Ahead(now time.Time, tokensPerMS float64, level int) float64 {
	b.drain(now, tokensPerMS)
	ahead := 0.0
	for l := range level + 1 {
		ahead += b.tokens[l]
	}
	return ahead
}

// Tokens returns the backlog by level.
func (b *Backlog) Tokens(now time.Time, tokensPerMS float64) [Levels]float64 {
	b.drain(now, tokensPerMS)
	return b.tokens
}

// Prompts returns the number of prompts sent and not yet read.
func (b *Backlog) Prompts() int {
	n := 0
	for _, count := range b.prompts {
		n += count
	}
	return n
}
