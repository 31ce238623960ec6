package placement

import (
	"math"
	"time"

	"flamingospar.org/core/health"
)

// Stage is the part of a prompt's work that an engine does.
type Stage int

// Stages of engines.
const (
	Decode  Stage = iota // Produces tokens; reads prompts too, but more slowly.
	Prefill              // Reads prompts for engines of the stage Decode.
)

// Assumptions until an engine was observed.
const (
	// prefillRate and decodeRate are prompt tokens read a millisecond.
	prefillRate = 60.0
	decodeRate  = 25.0
	// overhead is what an empty engine takes beside reading, in milliseconds.
	overhead = 58.0
	// learn is the share of the latest observation in an engine's rate.
	learn = 0.1
	// learnBias is the same in the bias of a priority.
	learnBias = 0.05
	// aloneShare is the part of a prompt's work that may be ahead of it for its
	// time to tell the engine's rate.
	aloneShare = 0.1
	// least is the number of tokens below which an observation tells more of
	// the overhead than of the rate.
	least = 800.0
	// contextCost is how much longer a token takes to read for each token before
	// it, by the time of a token without any: attention grows with the context.
	contextCost = 3.5e-5
	// overdueShare is the part of an engine's delay that the next prompt is
	// expected to meet.
	overdueShare = 0.5
	// takeTime is how long an engine takes to go on with a prompt read elsewhere.
	takeTime = 40 * time.Millisecond
	// maxFactor bounds how far one engine's rate may stray from the assumption.
	maxFactor = 4.0
	// cacheShare is the part of an engine's memory that cached parts may take.
	cacheShare = 0.8
)

// Engine is what this process believes of one model engine.
type Engine struct {
	ID         string
	DataCentre string
	Stage      Stage
	Slots      int
	Draining   bool
	Health     health.Record
	// RestUntil is when an engine may be asked again that refused a request
	// without a fault of its own.
	RestUntil time.Time
	// Heard is when it last answered this process, or a part of an answer came.
	Heard time.Time

	backlog backlog
	tickets map[*Ticket]bool // Open ones.
	cache   *Cache
	streams streams            // Of this process.
	others  map[string]Streams // Of other processes, as they last told.
	bias    *Bias
	factor  float64 // Observed rate by the assumed one.
}

// Bias is by how much longer prompts of each priority take than the work ahead
// of them says: more urgent ones that come later go first. It is shared by the
// engines of a service. The zero Bias is none.
type Bias [Levels]float64 // Logarithms.

func (b *Bias) of(level int) float64 { return math.Exp(b[level]) }

func (b *Bias) learn(level int, ratio float64) {
	ratio = min(max(ratio, 1/maxFactor), maxFactor)
	b[level] = (1-learnBias)*b[level] + learnBias*math.Log(ratio)
}

// NewEngine returns an engine with an empty cache of memory tokens.
func NewEngine(id, dataCentre string, stage Stage, slots, memory int, bias *Bias) *Engine {
	return &Engine{
		ID: id, DataCentre: dataCentre, Stage: stage, Slots: slots, cache: NewCache(int(float64(memory) * cacheShare)), factor: 1,
		bias: bias, tickets: make(map[*Ticket]bool), others: make(map[string]Streams), backlog: newBacklog(),
	}
}

// Rate returns the prompt tokens that the engine reads a millisecond.
func (e *Engine) Rate() float64 { return e.RateAs(e.Stage) }

// RateAs returns the rate that the engine would have at a stage.
func (e *Engine) RateAs(stage Stage) float64 {
	if stage == Prefill {
		return prefillRate * e.factor
	}
	return decodeRate * e.factor
}

// SetStage changes the stage. Its speed by the assumed one stays.
func (e *Engine) SetStage(stage Stage) { e.Stage = stage }

// Waiting returns the prompts that this process sent and the engine has not read.
func (e *Engine) Waiting() int { return e.backlog.waiting() }

// work returns what the engine would have to read of a prompt, in tokens
// without any context before them. fetched is how many tokens it can fetch from
// another engine.
func (e *Engine) work(prompt Prompt, fetched int) float64 {
	held := float64(min(max(e.cache.Held(prompt.Parts), fetched), prompt.Tokens))
	unread := float64(prompt.Tokens) - held
	return unread * (1 + contextCost*(held+unread/2))
}

// ahead returns the work that is done before a prompt of a level sent now.
func (e *Engine) ahead(now time.Time, level int) float64 {
	e.backlog.drain(now, e.Rate())
	return e.backlog.ahead(level)
}

// predict returns the milliseconds until the engine has read a prompt sent now.
func (e *Engine) predict(now time.Time, prompt Prompt, level, fetched int) float64 {
	return overhead + e.reading(e.ahead(now, level), e.work(prompt, fetched), level) + e.overdue(now)
}

// reading returns the milliseconds until a prompt of a level is read with some
// work ahead of it.
func (e *Engine) reading(ahead, own float64, level int) float64 {
	return (ahead + own) / e.Rate() * e.bias.of(level)
}

// overdue returns by how many milliseconds the engine is behind with what it
// was sent: it is slower than believed, or silent.
func (e *Engine) overdue(now time.Time) float64 {
	behind := time.Duration(0)
	for ticket := range e.tickets {
		behind = max(behind, now.Sub(ticket.sent)-ticket.Predicted)
	}
	return overdueShare * asMillis(behind)
}

// Wait returns the time until the engine has read all that it was sent.
func (e *Engine) Wait(now time.Time) time.Duration {
	return asDuration(e.ahead(now, Levels-1) / e.Rate())
}

// Unread returns the prompts that this process sent and the engine has not read.
func (e *Engine) Unread(now time.Time) []Unread {
	e.backlog.drain(now, e.Rate())
	return e.backlog.unread(now)
}

// SetRemote takes what another process tells of the engine.
func (e *Engine) SetRemote(now time.Time, peer string, unread []Unread, streams Streams) {
	e.backlog.drain(now, e.Rate())
	e.backlog.tell(now, peer, unread)
	e.others[peer] = streams
}

// DropRemote forgets what another process told.
func (e *Engine) DropRemote(peer string) {
	delete(e.backlog.remote, peer)
	delete(e.others, peer)
}

// Holds notes that the engine was sent a prompt with these leading parts.
func (e *Engine) Holds(parts []Part) { e.cache.Use(parts) }

// Ticket is a prompt that was sent to an engine.
type Ticket struct {
	engine    *Engine
	task      *task
	level     int
	sent      time.Time
	ahead     float64 // Work ahead of it when it was sent.
	work      float64 // The same and its own.
	Predicted time.Duration
	open      bool
}

// Send notes that a prompt is sent to the engine now, which can fetch some
// tokens of it from another.
func (e *Engine) Send(now time.Time, prompt Prompt, level, fetched int) *Ticket {
	tokens := e.work(prompt, fetched)
	ahead := e.ahead(now, level)
	e.cache.Use(prompt.Parts)
	return e.open(now, level, tokens, ahead, asDuration(overhead+e.reading(ahead, tokens, level)))
}

// Take notes that the engine is sent a prompt now that another has read.
func (e *Engine) Take(now time.Time, prompt Prompt, level int) *Ticket {
	e.backlog.drain(now, e.Rate())
	e.cache.Use(prompt.Parts)
	return e.open(now, level, 0, 0, takeTime)
}

func (e *Engine) open(now time.Time, level int, tokens, ahead float64, predicted time.Duration) *Ticket {
	ticket := &Ticket{engine: e, task: e.backlog.add(now, level, tokens), level: level, sent: now, ahead: ahead, work: ahead + tokens, Predicted: predicted, open: true}
	e.tickets[ticket] = true
	return ticket
}

// Read notes that the engine has read the prompt, and learns from the time
// that it took.
func (t *Ticket) Read(now time.Time) {
	if t.open {
		t.learn(now)
	}
	t.Drop(now)
}

// Drop notes that the engine will not read the prompt.
func (t *Ticket) Drop(now time.Time) {
	if !t.open {
		return
	}
	t.open = false
	delete(t.engine.tickets, t)
	t.engine.backlog.drain(now, t.engine.Rate())
	t.engine.backlog.done(t.task)
}

// learn corrects the engine's rate by a prompt that had nothing ahead of it, and
// the bias by the others.
func (t *Ticket) learn(now time.Time) {
	reading := asMillis(now.Sub(t.sent)) - overhead
	if t.work < least || reading <= 0 {
		return
	}
	e := t.engine
	if t.ahead > aloneShare*t.work {
		e.bias.learn(t.level, reading/(t.work/e.Rate()))
		return
	}
	observed := t.work / reading / (e.Rate() / e.factor)
	e.factor = math.Exp((1-learn)*math.Log(e.factor) + learn*math.Log(min(max(observed, 1/maxFactor), maxFactor)))
}
