package admit

import (
	"time"

	"flamingospar.org/core/fair"
)

// runningRun is a run that the engine has accepted.
type runningRun struct {
	run           Run
	started       time.Duration
	promptBacklog float64 // Prompt tokens to process before its first token, its own included.
	gotFirstToken bool
	tokens        float64
	lastToken     time.Duration
}

// Gate controls which runs start on one endpoint. It queues waiting runs by fair
// share, decides which run starts next, and refuses runs whose first token would be
// late. It estimates the engine's speed from the observed tokens. It is not safe for
// concurrent use.
type Gate struct {
	settings           GateSettings
	queue              *fair.Queue
	waiting            map[string]Run
	running            map[string]*runningRun
	backlog            float64       // Unprocessed prompt tokens on the engine.
	queuedTokens       float64       // Prompt tokens of all waiting runs.
	urgentQueuedTokens float64       // Prompt tokens of waiting runs of the most urgent class.
	arrivals           float64       // Number of runs added; the queue order if FIFO is set.
	rate               rateEstimator // Prompt tokens per second.
	slots              slots
}

// NewGate returns an empty gate.
func NewGate(settings GateSettings) *Gate {
	return &Gate{
		settings: settings,
		queue:    fair.New(),
		waiting:  make(map[string]Run),
		running:  make(map[string]*runningRun),
		rate:     newRateEstimator(settings.PromptRate),
		slots:    newSlots(settings.MaxRunning, settings.TokenInterval),
	}
}

// Add queues a run and returns the runs that are refused as a result, which may
// include the run itself.
func (g *Gate) Add(now time.Duration, run Run) []Refused {
	g.queue.Push(fair.Item{
		ID:     run.ID,
		Team:   g.queueKey(run),
		Weight: run.Weight,
		Class:  run.Class,
		Cost:   g.cost(run),
		Order:  g.order(run),
	})
	g.waiting[run.ID] = run
	g.queuedTokens += run.PromptTokens
	g.urgentQueuedTokens += run.urgentTokens()
	return g.evict(now)
}

// queueKey returns the name under which a run is queued: its team, or one common
// name for all runs in FIFO mode.
func (g *Gate) queueKey(run Run) string {
	if g.settings.FIFO {
		return ""
	}
	return run.Team
}

// order returns the rank of a run within its team: by arrival, by cost, or by the
// latest time at which it can start and meet its deadline.
func (g *Gate) order(run Run) float64 {
	g.arrivals++
	switch {
	case g.settings.FIFO:
		return g.arrivals
	case g.settings.ShortestFirst:
		return g.cost(run)
	default:
		return run.FirstTokenDeadline.Seconds() - run.PromptTokens/g.rate.value()
	}
}

func (g *Gate) cost(run Run) float64 {
	return g.settings.Prices.Cost(run.PromptTokens, run.OutputTokens)
}

// evict refuses the runs that would be served last until the queue is no longer
// overloaded.
func (g *Gate) evict(now time.Duration) []Refused {
	var refused []Refused
	for g.queue.Waiting() > 0 && g.overloaded(now) {
		item, _ := g.queue.Evict()
		run := g.removeWaiting(item.ID)
		reason := OverShare
		if g.queue.Waiting() >= g.settings.MaxWaiting {
			reason = QueueFull
		}
		refused = append(refused, Refused{ID: run.ID, Decision: Decision{Reason: reason, RetryAfter: g.RetryAfter()}})
	}
	return refused
}

// overloaded reports whether the queue is too long or the run to be served last
// would miss its deadline even if no other run arrived.
func (g *Gate) overloaded(now time.Duration) bool {
	if g.queue.Waiting() > g.settings.MaxWaiting {
		return true
	}
	if g.settings.FIFO {
		return false
	}
	last, ok := g.queue.Last()
	if !ok {
		return false
	}
	run := g.waiting[last.ID]
	return run.HasDeadline && now+seconds((g.backlog+g.queuedTokens)/g.rate.value()) > run.FirstTokenDeadline
}

// Next starts a waiting run if the engine has room for one. It also returns the runs
// that it refused because their first token would be late.
func (g *Gate) Next(now time.Duration) (id string, ok bool, refused []Refused) {
	for g.queue.Waiting() > 0 && g.canStartRun() {
		item, some := g.queue.PopUpTo(g.leastUrgent())
		if !some {
			break
		}
		run := g.removeWaiting(item.ID)
		if g.wouldBeLate(now, run) {
			g.queue.Charge(g.queueKey(run), -item.Cost)
			refused = append(refused, Refused{ID: run.ID, Decision: Decision{Reason: TooLate, RetryAfter: g.RetryAfter()}})
			continue
		}
		g.backlog += run.PromptTokens
		g.running[run.ID] = &runningRun{run: run, started: now, promptBacklog: g.backlog}
		return run.ID, true, refused
	}
	return "", false, refused
}

// canStartRun reports whether the engine has a free slot and its backlog is below
// the limit.
func (g *Gate) canStartRun() bool {
	return len(g.running) < g.slots.limit() && (g.backlog == 0 || g.backlog < g.settings.EngineBacklog)
}

// leastUrgent returns the least urgent class that may start now. The reserved slots
// are only given to the most urgent class.
func (g *Gate) leastUrgent() fair.Class {
	reserved := int(g.settings.UrgentSlotFraction * float64(g.slots.limit()))
	if len(g.running) >= g.slots.limit()-reserved {
		return 0
	}
	return fair.NumClasses - 1
}

// wouldBeLate reports whether the first token of a run would be late if it started
// now.
func (g *Gate) wouldBeLate(now time.Duration, run Run) bool {
	if g.settings.FIFO || !run.HasDeadline {
		return false
	}
	return now+seconds((g.backlog+run.PromptTokens)/g.rate.value()) > run.FirstTokenDeadline
}

// Tokens records output tokens of a run and updates the estimates of the engine's
// speed.
func (g *Gate) Tokens(now time.Duration, id string, tokens int) {
	r, ok := g.running[id]
	if !ok {
		return
	}
	if !r.gotFirstToken {
		r.gotFirstToken = true
		g.backlog = max(0, g.backlog-r.run.PromptTokens)
		g.rate.observe(r.promptBacklog, (now - r.started).Seconds())
	} else if tokens > 0 {
		g.slots.observe((now-r.lastToken)/time.Duration(tokens), len(g.running))
	}
	r.lastToken = now
	before := max(0, r.tokens-r.run.OutputTokens)
	r.tokens += float64(tokens)
	// Tokens beyond the prediction are charged as they arrive.
	if extra := max(0, r.tokens-r.run.OutputTokens) - before; extra > 0 {
		g.queue.Charge(g.queueKey(r.run), extra*g.settings.Prices.Output)
	}
}

// Finish removes a run from the engine and refunds predicted tokens that it did not
// generate.
func (g *Gate) Finish(id string) {
	r, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if !r.gotFirstToken {
		g.backlog = max(0, g.backlog-r.run.PromptTokens)
	}
	if unused := r.run.OutputTokens - r.tokens; unused > 0 {
		g.queue.Charge(g.queueKey(r.run), -unused*g.settings.Prices.Output)
	}
	if len(g.running) == 0 {
		g.backlog = 0
	}
}

// Cancel removes a waiting run and reports whether it was waiting.
func (g *Gate) Cancel(id string) bool {
	if !g.queue.Remove(id) {
		return false
	}
	g.removeWaiting(id)
	return true
}

// Charge adds service that a team received at other endpoints. It has no effect in
// FIFO mode.
func (g *Gate) Charge(team string, service float64) {
	if !g.settings.FIFO {
		g.queue.Charge(team, service)
	}
}

func (g *Gate) removeWaiting(id string) Run {
	run := g.waiting[id]
	delete(g.waiting, id)
	g.queuedTokens = max(0, g.queuedTokens-run.PromptTokens)
	g.urgentQueuedTokens = max(0, g.urgentQueuedTokens-run.urgentTokens())
	if len(g.waiting) == 0 {
		g.queuedTokens, g.urgentQueuedTokens = 0, 0
	}
	return run
}

// RetryAfter returns the expected time until the current backlog and queue have been
// processed.
func (g *Gate) RetryAfter() time.Duration {
	return max(minRetryAfter, seconds((g.backlog+g.queuedTokens)/g.rate.value()))
}

// Load is the load of an endpoint.
type Load struct {
	Running    int
	MaxRunning int // Current limit, adjusted to the observed token interval.
	Waiting    int
	// Backlog is the number of prompt tokens not yet processed, including those of
	// waiting runs of the most urgent class. Waiting runs of other classes yield to
	// new urgent runs and are not counted.
	Backlog    float64
	PromptRate float64 // Observed prompt tokens per second.
}

// Load returns the current load.
func (g *Gate) Load() Load {
	return Load{
		Running:    len(g.running),
		MaxRunning: g.slots.limit(),
		Waiting:    len(g.waiting),
		Backlog:    g.backlog + g.urgentQueuedTokens,
		PromptRate: g.rate.value(),
	}
}
