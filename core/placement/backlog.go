package placement

import (
	"slices"
	"time"
)

// PriorityLevels is the number of priority levels by which an engine orders
// prompts; level 0 is the most urgent.
const PriorityLevels = 10

// PendingPrompt is a prompt that was sent to an engine and whose prefill is not
// known to have finished.
type PendingPrompt struct {
	Level     int
	Work      float64       // For the whole prompt, in units of the prefill of one token without context.
	Remaining float64       // Estimated part of Work that is left.
	Age       time.Duration // Time since it was sent.
}

// minLocalWorkShare is the share of a prompt's work that counts as remaining until
// its prefill is known to have finished. Progress is only estimated, since not all
// prompts from other processes are known.
const minLocalWorkShare = 0.5

// minPeerWorkShare is the share of the work reported by another process that counts
// as remaining until its next report: in the meantime it sends about as much new
// work as the engine finishes.
const minPeerWorkShare = 0.5

// task is a prompt whose prefill has not finished.
type task struct {
	level        int
	sentAt       time.Time
	work         float64
	remaining    float64 // Current estimate.
	minRemaining float64 // Lower bound of remaining until a completion or a new report.
}

// started reports whether the engine is estimated to have started the prefill.
func (t *task) started() bool { return t.remaining < t.work }

// before reports whether the engine processes t before other if it has started
// neither.
func (t *task) before(other *task) bool {
	if t.level != other.level {
		return t.level < other.level
	}
	return t.sentAt.Before(other.sentAt)
}

// backlog estimates the prefill work that is queued at an engine. The engine
// processes one prompt at a time, by priority and then by age. A prefill that has
// started is not preempted by a more urgent prompt.
type backlog struct {
	local     []*task            // Sent by this process and not known to have finished.
	peers     map[string][]*task // By process: what it last reported to have sent.
	updatedAt time.Time
}

func newBacklog() backlog { return backlog{peers: make(map[string][]*task)} }

// advance deducts the work that the engine may have done since the last call.
func (b *backlog) advance(now time.Time, tokensPerMS float64) {
	if b.updatedAt.IsZero() || now.Before(b.updatedAt) {
		b.updatedAt = now
		return
	}
	processed := float64(now.Sub(b.updatedAt)) / float64(time.Millisecond) * tokensPerMS
	b.updatedAt = now
	for processed > 0 {
		next := b.next()
		if next == nil {
			return
		}
		step := min(processed, next.remaining-next.minRemaining)
		next.remaining -= step
		processed -= step
	}
}

// next returns the task that the engine is estimated to process now, or nil if all
// may have finished.
func (b *backlog) next() *task {
	var next *task
	b.forEach(func(t *task) {
		if t.remaining <= t.minRemaining || (next != nil && next.started()) {
			return
		}
		if next == nil || t.started() || t.before(next) {
			next = t
		}
	})
	return next
}

func (b *backlog) forEach(visit func(*task)) {
	for _, t := range b.local {
		visit(t)
	}
	for _, tasks := range b.peers {
		for _, t := range tasks {
			visit(t)
		}
	}
}

// add records a prompt that this process sent to the engine.
func (b *backlog) add(now time.Time, level int, prefillWork float64) *task {
	t := &task{level: level, sentAt: now, work: prefillWork, remaining: prefillWork, minRemaining: minLocalWorkShare * prefillWork}
	b.local = append(b.local, t)
	return t
}

// remove drops a prompt of this process that was processed or cancelled.
func (b *backlog) remove(t *task) {
	b.local = slices.DeleteFunc(b.local, func(other *task) bool { return other == t })
}

// localPrompts returns the pending prompts of this process.
func (b *backlog) localPrompts(now time.Time) []PendingPrompt {
	list := make([]PendingPrompt, 0, len(b.local))
	for _, t := range b.local {
		list = append(list, PendingPrompt{Level: t.level, Work: t.work, Remaining: t.remaining, Age: now.Sub(t.sentAt)})
	}
	return list
}

// setPeer replaces the pending prompts of another process by its latest report.
func (b *backlog) setPeer(now time.Time, peer string, list []PendingPrompt) {
	tasks := make([]*task, 0, len(list))
	for _, prompt := range list {
		tasks = append(tasks, &task{level: prompt.Level, sentAt: now.Add(-prompt.Age), work: prompt.Work, remaining: prompt.Remaining, minRemaining: minPeerWorkShare * prompt.Remaining})
	}
	b.peers[peer] = tasks
}

// workAhead returns the work that is done before a prompt of a level that is sent
// now: all prompts that are at least as urgent, and the rest of a less urgent
// prompt that has already started.
func (b *backlog) workAhead(level int) float64 {
	sum, current := 0.0, 0.0
	b.forEach(func(t *task) {
		if t.level <= level {
			sum += t.remaining
		} else if t.started() {
			current = max(current, t.remaining)
		}
	})
	return sum + current
}

// localCount returns the number of pending prompts of this process.
func (b *backlog) localCount() int { return len(b.local) }
