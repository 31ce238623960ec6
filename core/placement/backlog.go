package placement

import (
	"time"
)

// Levels is the number of priorities that an engine orders prompts by.
const Levels = 10

// Work is reading work in tokens by priority.
type Work [Levels]float64

// ahead returns the work that is done before that of a level sent now.
func (w *Work) ahead(level int) float64 {
	sum := 0.0
	for l := range level + 1 {
		sum += w[l]
	}
	return sum
}

// backlog estimates the work that an engine has yet to do, by who sent it. The
// engine does the most urgent first.
type backlog struct {
	own     Work
	prompts [Levels]int      // Own prompts whose reading has not been seen to end.
	remote  map[string]*Work // What other processes sent, as they last told.
	at      time.Time
}

// drain takes off what the engine has read since the last call.
func (b *backlog) drain(now time.Time, tokensPerMS float64) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	read := float64(now.Sub(b.at)) / float64(time.Millisecond) * tokensPerMS
	b.at = now
	for level := range Levels {
		total := b.total(level)
		if total <= 0 {
			continue
		}
		left := 1 - min(read, total)/total
		read -= total * (1 - left)
		b.own[level] *= left
		for _, work := range b.remote {
			work[level] *= left
		}
	}
}

func (b *backlog) total(level int) float64 {
	total := b.own[level]
	for _, work := range b.remote {
		total += work[level]
	}
	return total
}

// add notes an own prompt that was sent to the engine.
func (b *backlog) add(level int, tokens float64) {
	b.own[level] += tokens
	b.prompts[level]++
}

// done notes that the engine has read an own prompt, or will not. With no
// prompt of the level left, none of its work is.
func (b *backlog) done(level int) {
	b.prompts[level] = max(b.prompts[level]-1, 0)
	if b.prompts[level] == 0 {
		b.own[level] = 0
	}
}

// ahead returns the work that is done before a prompt of a level sent now.
func (b *backlog) ahead(level int) float64 {
	ahead := b.own.ahead(level)
	for _, work := range b.remote {
		ahead += work.ahead(level)
	}
	return ahead
}

// waiting returns the number of own prompts sent and not yet read.
func (b *backlog) waiting() int {
	n := 0
	for _, count := range b.prompts {
		n += count
	}
	return n
}
