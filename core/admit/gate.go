package admit

import (
	"time"

	"flamingospar.org/core/fair"
)

// Prices are the seconds of an endpoint that one token takes.
type Prices struct {
	Prompt float64 `toml:"prompt"`
	Output float64 `toml:"output"`
}

// Cost returns the service that tokens take, in seconds of an endpoint.
func (p Prices) Cost(prompt, output float64) float64 {
	return prompt*p.Prompt + output*p.Output
}

// GateSettings configure a gate.
type GateSettings struct {
	MaxRunning    int           // Runs on the endpoint at once.
	MaxWaiting    int           // Runs that may wait.
	EngineBacklog float64       // Prompt tokens given to the engine ahead of need.
	PromptRate    float64       // Prompt tokens a second, until observed.
	TokenInterval time.Duration // Between tokens of one answer, at most.
	Prices        Prices
	KeptSlots     float64 // Part of the slots that only the most urgent class takes.
	FirstCome     bool    // Serve in the order of arrival and refuse nothing early.
	ShortFirst    bool    // Within a team, the least work first.
}

// DefaultGateSettings suit an engine of about a thousand output tokens a second.
func DefaultGateSettings() GateSettings {
	return GateSettings{
		MaxRunning:    64,
		MaxWaiting:    256,
		EngineBacklog: 768,
		PromptRate:    7500,
		TokenInterval: 73 * time.Millisecond,
		KeptSlots:     0.25,
		Prices:        Prices{Prompt: 50e-6, Output: 634e-6},
	}
}

// Run is one run as the gate knows it.
type Run struct {
	ID           string
	Team         string
	Weight       float64
	Class        fair.Class
	PromptTokens float64 // To process: without what is cached.
	OutputTokens float64 // Predicted.
	FirstTokenBy time.Duration
	HasBound     bool // FirstTokenBy holds.
}

// urgentTokens returns the prompt tokens if the run is of the most urgent class.
func (r Run) urgentTokens() float64 {
	if r.Class > 0 {
		return 0
	}
	return r.PromptTokens
}

// Refused is a run that the gate gives up. It provably never began.
type Refused struct {
	ID       string
	Decision Decision
}

// onEngine is a run that the engine has.
type onEngine struct {
	run       Run
	began     time.Duration
	ahead     float64 // Prompt tokens before its first token, its own included.
	first     bool    // Its first token came.
	tokens    float64
	lastToken time.Duration
}

// Gate holds the runs of one endpoint: it orders those that wait, says which
// goes next and gives up those that can't be in time. It learns the engine's
// speed from what the engine does. It is not safe for concurrent use.
type Gate struct {
	settings GateSettings
	queue    *fair.Queue
	waiting  map[string]Run
	running  map[string]*onEngine
	backlog  float64 // Prompt tokens on the engine that are not processed.
	queued   float64 // Prompt tokens that wait.
	urgent   float64 // Of them, those of the most urgent class.
	arrivals float64
	rate     speed
	slots    slots
}

// NewGate returns an empty gate.
func NewGate(settings GateSettings) *Gate {
	return &Gate{
		settings: settings,
		queue:    fair.New(),
		waiting:  make(map[string]Run),
		running:  make(map[string]*onEngine),
		rate:     newSpeed(settings.PromptRate),
		slots:    newSlots(settings.MaxRunning, settings.TokenInterval),
	}
}

// Add queues a run and returns the runs that are given up for it, which may
// include the run itself.
func (g *Gate) Add(now time.Duration, run Run) []Refused {
	g.queue.Push(fair.Item{
		ID:     run.ID,
		Team:   g.flowOf(run),
		Weight: run.Weight,
		Class:  run.Class,
		Cost:   g.cost(run),
		Order:  g.order(run),
	})
	g.waiting[run.ID] = run
	g.queued += run.PromptTokens
	g.urgent += run.urgentTokens()
	return g.evict(now)
}

// flowOf returns the queue's key of a run: all runs share one when they are
// served in the order of arrival.
func (g *Gate) flowOf(run Run) string {
	if g.settings.FirstCome {
		return ""
	}
	return run.Team
}

func (g *Gate) order(run Run) float64 {
	g.arrivals++
	switch {
	case g.settings.FirstCome:
		return g.arrivals
	case g.settings.ShortFirst:
		return g.cost(run)
	default:
		return run.FirstTokenBy.Seconds() - run.PromptTokens/g.rate.value()
	}
}

func (g *Gate) cost(run Run) float64 {
	return g.settings.Prices.Cost(run.PromptTokens, run.OutputTokens)
}

// evict gives up the runs that would be served last while more wait than can
// be served in time.
func (g *Gate) evict(now time.Duration) []Refused {
	var refused []Refused
	for g.queue.Waiting() > 0 && g.overfull(now) {
		item, _ := g.queue.Evict()
		run := g.forgetWaiting(item.ID)
		reason := OverShare
		if g.queue.Waiting() >= g.settings.MaxWaiting {
			reason = QueueFull
		}
		refused = append(refused, Refused{ID: run.ID, Decision: Decision{Reason: reason, RetryAfter: g.RetryAfter()}})
	}
	return refused
}

// overfull reports whether the run served last would be late if nothing else came.
func (g *Gate) overfull(now time.Duration) bool {
	if g.queue.Waiting() > g.settings.MaxWaiting {
		return true
	}
	if g.settings.FirstCome {
		return false
	}
	last, ok := g.queue.Last()
	if !ok {
		return false
	}
	run := g.waiting[last.ID]
	return run.HasBound && now+seconds((g.backlog+g.queued)/g.rate.value()) > run.FirstTokenBy
}

// Next moves a run to the engine when there is room for one. The runs that it
// passes over because they would be late are given up.
func (g *Gate) Next(now time.Duration) (id string, ok bool, refused []Refused) {
	for g.queue.Waiting() > 0 && g.room() {
		item, some := g.queue.PopUpTo(g.leastUrgent())
		if !some {
			break
		}
		run := g.forgetWaiting(item.ID)
		if g.late(now, run) {
			g.queue.Charge(g.flowOf(run), -item.Cost)
			refused = append(refused, Refused{ID: run.ID, Decision: Decision{Reason: TooLate, RetryAfter: g.RetryAfter()}})
			continue
		}
		g.backlog += run.PromptTokens
		g.running[run.ID] = &onEngine{run: run, began: now, ahead: g.backlog}
		return run.ID, true, refused
	}
	return "", false, refused
}

func (g *Gate) room() bool {
	return len(g.running) < g.slots.limit() && (g.backlog == 0 || g.backlog < g.settings.EngineBacklog)
}

// leastUrgent returns the least urgent class that may go now: a part of the
// slots is kept for the most urgent one.
func (g *Gate) leastUrgent() fair.Class {
	kept := int(g.settings.KeptSlots * float64(g.slots.limit()))
	if len(g.running) >= g.slots.limit()-kept {
		return 0
	}
	return fair.Classes - 1
}

func (g *Gate) late(now time.Duration, run Run) bool {
	if g.settings.FirstCome || !run.HasBound {
		return false
	}
	return now+seconds((g.backlog+run.PromptTokens)/g.rate.value()) > run.FirstTokenBy
}

// Tokens takes output tokens of a run as they come.
func (g *Gate) Tokens(now time.Duration, id string, tokens int) {
	r, ok := g.running[id]
	if !ok {
		return
	}
	if !r.first {
		r.first = true
		g.backlog = max(0, g.backlog-r.run.PromptTokens)
		g.rate.observe(r.ahead, (now - r.began).Seconds())
	} else if tokens > 0 {
		g.slots.observe((now-r.lastToken)/time.Duration(tokens), len(g.running))
	}
	r.lastToken = now
	before := max(0, r.tokens-r.run.OutputTokens)
	r.tokens += float64(tokens)
	// What exceeds the prediction is charged as it comes.
	if extra := max(0, r.tokens-r.run.OutputTokens) - before; extra > 0 {
		g.queue.Charge(g.flowOf(r.run), extra*g.settings.Prices.Output)
	}
}

// Finish takes a run off the engine and gives back what its prediction took too much.
func (g *Gate) Finish(id string) {
	r, ok := g.running[id]
	if !ok {
		return
	}
	delete(g.running, id)
	if !r.first {
		g.backlog = max(0, g.backlog-r.run.PromptTokens)
	}
	if spare := r.run.OutputTokens - r.tokens; spare > 0 {
		g.queue.Charge(g.flowOf(r.run), -spare*g.settings.Prices.Output)
	}
	if len(g.running) == 0 {
		g.backlog = 0
	}
}

// Cancel removes a waiting run and reports whether it waited.
func (g *Gate) Cancel(id string) bool {
	if !g.queue.Remove(id) {
		return false
	}
	g.forgetWaiting(id)
	return true
}

// Charge adds service that a team was given at other endpoints.
func (g *Gate) Charge(team string, service float64) {
	if !g.settings.FirstCome {
		g.queue.Charge(team, service)
	}
}

func (g *Gate) forgetWaiting(id string) Run {
	run := g.waiting[id]
	delete(g.waiting, id)
	g.queued = max(0, g.queued-run.PromptTokens)
	g.urgent = max(0, g.urgent-run.urgentTokens())
	if len(g.waiting) == 0 {
		g.queued, g.urgent = 0, 0
	}
	return run
}

// RetryAfter returns when what waits now will have been served.
func (g *Gate) RetryAfter() time.Duration {
	return max(minRetryAfter, seconds((g.backlog+g.queued)/g.rate.value()))
}

// Load is what a gate knows of its endpoint.
type Load struct {
	Running    int
	MaxRunning int // As the token interval allows now.
	Waiting    int
	// Backlog is the prompt tokens not processed, those included that wait in
	// the most urgent class. Less urgent ones give way and do not count.
	Backlog    float64
	PromptRate float64 // Prompt tokens a second, observed.
}

// Load returns the gate's load.
func (g *Gate) Load() Load {
	return Load{
		Running:    len(g.running),
		MaxRunning: g.slots.limit(),
		Waiting:    len(g.waiting),
		Backlog:    g.backlog + g.urgent,
		PromptRate: g.rate.value(),
	}
}
