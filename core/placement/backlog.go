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

// unreadShare is the part of a prompt's work that is counted until the engine
// is seen to have read it: how far the engine is with it is a guess, since not
// all that other processes sent is known.
const unreadShare = 0.5

// toldShare is the part of what another process told that is counted until it
// tells again: about as much is sent meanwhile as is read.
const toldShare = 0.5

// task is the work of one own prompt.
type task struct {
	level  int
	tokens float64 // When it was sent.
	left   float64 // As it is guessed now.
}

// told is the work that another process told of.
type told struct {
	work Work
	left Work // As it is guessed now.
}

// backlog estimates the work that an engine has yet to do, by who sent it. The
// engine does the most urgent first.
type backlog struct {
	own    map[*task]bool   // Prompts whose reading has not been seen to end.
	remote map[string]*told // What other processes sent, as they last told.
	at     time.Time
}

func newBacklog() backlog {
	return backlog{own: make(map[*task]bool), remote: make(map[string]*told)}
}

// drain takes off what the engine may have read since the last call.
func (b *backlog) drain(now time.Time, tokensPerMS float64) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	read := float64(now.Sub(b.at)) / float64(time.Millisecond) * tokensPerMS
	b.at = now
	total := b.sum()
	for level := range Levels {
		if total[level] <= 0 {
			continue
		}
		left := 1 - min(read, total[level])/total[level]
		read -= total[level] * (1 - left)
		b.scale(level, left)
		if read <= 0 {
			return
		}
	}
}

// scale leaves a share of a level's work.
func (b *backlog) scale(level int, share float64) {
	for t := range b.own {
		if t.level == level {
			t.left = max(t.left*share, unreadShare*t.tokens)
		}
	}
	for _, r := range b.remote {
		r.left[level] = max(r.left[level]*share, toldShare*r.work[level])
	}
}

// sum returns all work by level.
func (b *backlog) sum() Work {
	total := b.ownWork()
	for _, r := range b.remote {
		for level, work := range r.left {
			total[level] += work
		}
	}
	return total
}

// ownWork returns the work of own prompts by level.
func (b *backlog) ownWork() Work {
	var work Work
	for t := range b.own {
		work[t.level] += t.left
	}
	return work
}

// add notes an own prompt that was sent to the engine.
func (b *backlog) add(level int, tokens float64) *task {
	t := &task{level: level, tokens: tokens, left: tokens}
	b.own[t] = true
	return t
}

// done notes that the engine has read an own prompt, or will not.
func (b *backlog) done(t *task) { delete(b.own, t) }

// tell takes what another process tells.
func (b *backlog) tell(peer string, work Work) { b.remote[peer] = &told{work: work, left: work} }

// ahead returns the work that is done before a prompt of a level sent now.
func (b *backlog) ahead(level int) float64 {
	total := b.sum()
	return total.ahead(level)
}

// waiting returns the number of own prompts sent and not yet read.
func (b *backlog) waiting() int { return len(b.own) }
