package placement

import (
	"slices"
	"time"
)

// Levels is the number of priorities that an engine orders prompts by.
const Levels = 10

// Unread is a prompt that an engine was sent and is not known to have read.
type Unread struct {
	Level int
	Work  float64       // Of the whole prompt, in tokens without any context before them.
	Left  float64       // What is guessed to be left of Work.
	Ago   time.Duration // Since it was sent.
}

// unreadShare is the part of a prompt's work that is counted until the engine
// is seen to have read it: how far the engine is with it is a guess, since not
// all that other processes sent is known.
const unreadShare = 0.5

// toldShare is the part of what another process told that is counted until it
// tells again: about as much is sent meanwhile as is read.
const toldShare = 0.5

// task is a prompt that an engine has yet to read.
type task struct {
	level int
	sent  time.Time
	work  float64
	left  float64 // As it is guessed now.
	least float64 // What left does not fall below before more is heard.
}

// begun reports whether the engine is guessed to have begun to read it.
func (t *task) begun() bool { return t.left < t.work }

// before reports whether the engine reads t before other, if it reads neither yet.
func (t *task) before(other *task) bool {
	if t.level != other.level {
		return t.level < other.level
	}
	return t.sent.Before(other.sent)
}

// backlog estimates the work that an engine has yet to do. The engine reads one
// prompt after another, the most urgent first and the oldest of those, and ends
// what it has begun before it turns to a more urgent one.
type backlog struct {
	own    []*task            // Prompts whose reading has not been seen to end.
	remote map[string][]*task // What other processes sent, as they last told.
	at     time.Time
}

func newBacklog() backlog { return backlog{remote: make(map[string][]*task)} }

// drain takes off what the engine may have read since the last call.
func (b *backlog) drain(now time.Time, tokensPerMS float64) {
	if b.at.IsZero() || now.Before(b.at) {
		b.at = now
		return
	}
	read := float64(now.Sub(b.at)) / float64(time.Millisecond) * tokensPerMS
	b.at = now
	for read > 0 {
		next := b.next()
		if next == nil {
			return
		}
		part := min(read, next.left-next.least)
		next.left -= part
		read -= part
	}
}

// next returns what the engine reads now, or nil when all may be read.
func (b *backlog) next() *task {
	var next *task
	b.each(func(t *task) {
		if t.left <= t.least || (next != nil && next.begun()) {
			return
		}
		if next == nil || t.begun() || t.before(next) {
			next = t
		}
	})
	return next
}

func (b *backlog) each(visit func(*task)) {
	for _, t := range b.own {
		visit(t)
	}
	for _, tasks := range b.remote {
		for _, t := range tasks {
			visit(t)
		}
	}
}

// add notes an own prompt that was sent to the engine.
func (b *backlog) add(now time.Time, level int, tokens float64) *task {
	t := &task{level: level, sent: now, work: tokens, left: tokens, least: unreadShare * tokens}
	b.own = append(b.own, t)
	return t
}

// done notes that the engine has read an own prompt, or will not.
func (b *backlog) done(t *task) {
	b.own = slices.DeleteFunc(b.own, func(other *task) bool { return other == t })
}

// unread returns the own prompts.
func (b *backlog) unread(now time.Time) []Unread {
	list := make([]Unread, 0, len(b.own))
	for _, t := range b.own {
		list = append(list, Unread{Level: t.level, Work: t.work, Left: t.left, Ago: now.Sub(t.sent)})
	}
	return list
}

// tell takes what another process tells.
func (b *backlog) tell(now time.Time, peer string, list []Unread) {
	tasks := make([]*task, 0, len(list))
	for _, u := range list {
		tasks = append(tasks, &task{level: u.Level, sent: now.Add(-u.Ago), work: u.Work, left: u.Left, least: toldShare * u.Left})
	}
	b.remote[peer] = tasks
}

// ahead returns the work that is done before a prompt of a level sent now: what
// is as urgent, and the rest of a less urgent prompt that the engine reads now.
func (b *backlog) ahead(level int) float64 {
	sum, reads := 0.0, 0.0
	b.each(func(t *task) {
		if t.level <= level {
			sum += t.left
		} else if t.begun() {
			reads = max(reads, t.left)
		}
	})
	return sum + reads
}

// waiting returns the number of own prompts sent and not yet read.
func (b *backlog) waiting() int { return len(b.own) }
