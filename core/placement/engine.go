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
	overhead = 40.0
	// learn is the share of the latest observation in an engine's rate.
	learn = 0.1
	// least is the number of tokens below which an observation tells more of
	// the overhead than of the rate.
	least = 800.0
	// contextCost is how much longer a token takes to read for each token before
	// it, by the time of a token without any: attention grows with the context.
	contextCost = 3.5e-5
	// maxFactor bounds how far one engine's rate may stray from the assumption.
	maxFactor = 4.0
	// cacheShare is the part of an engine's memory that cached parts may take.
	cacheShare = 0.85
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

	backlog Backlog
	remote  Backlog // What other processes sent, as they last told.
	cache   *Cache
	streams int     // Running past their first token, of this process.
	others  int     // The same of other processes, as they last told.
	factor  float64 // Observed rate by the assumed one.
}

// NewEngine returns an engine with an empty cache of memory tokens.
func NewEngine(id, dataCentre string, stage Stage, slots, memory int) *Engine {
	return &Engine{ID: id, DataCentre: dataCentre, Stage: stage, Slots: slots, cache: NewCache(int(float64(memory) * cacheShare)), factor: 1}
}

// Rate returns the prompt tokens that the engine reads a millisecond.
func (e *Engine) Rate() float64 {
	if e.Stage == Prefill {
		return prefillRate * e.factor
	}
	return decodeRate * e.factor
}

// SetStage changes the stage. The rate is learned anew.
func (e *Engine) SetStage(stage Stage) {
	if e.Stage == stage {
		return
	}
	e.Stage = stage
	e.factor = 1
}

// Running returns the streams past their first token, of all processes.
func (e *Engine) Running() int { return e.streams + e.others }

// Waiting returns the prompts that this process sent and the engine has not read.
func (e *Engine) Waiting() int { return e.backlog.Prompts() }

// work returns what the engine would have to read of a prompt, in tokens
// without any context before them.
func (e *Engine) work(prompt Prompt) float64 {
	held := float64(min(e.cache.Held(prompt.Parts), prompt.Tokens))
	unread := float64(prompt.Tokens) - held
	return unread * (1 + contextCost*(held+unread/2))
}

// ahead returns the work that is done before a prompt of a level sent now.
func (e *Engine) ahead(now time.Time, level int) float64 {
	return e.backlog.Ahead(now, e.Rate(), level) + e.remote.Ahead(now, e.Rate(), level)
}

// predict returns the milliseconds until the engine has read a prompt sent now.
func (e *Engine) predict(now time.Time, prompt Prompt, level int) float64 {
	return overhead + (e.ahead(now, level)+e.work(prompt))/e.Rate()
}

// Ticket is a prompt that was sent to an engine.
type Ticket struct {
	engine    *Engine
	level     int
	sent      time.Time
	work      float64 // Tokens ahead and its own when it was sent.
	Predicted time.Duration
	open      bool
}

// Send notes that a prompt is sent to the engine now.
func (e *Engine) Send(now time.Time, prompt Prompt, level int) *Ticket {
	tokens := e.work(prompt)
	ahead := e.ahead(now, level)
	predicted := time.Duration((overhead + (ahead+tokens)/e.Rate()) * float64(time.Millisecond))
	e.backlog.Add(now, e.Rate(), level, tokens)
	e.cache.Use(prompt.Parts)
	return &Ticket{engine: e, level: level, sent: now, work: ahead + tokens, Predicted: predicted, open: true}
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
	t.engine.backlog.Done(now, t.engine.Rate(), t.level)
}

func (t *Ticket) learn(now time.Time) {
	reading := float64(now.Sub(t.sent))/float64(time.Millisecond) - overhead
	if t.work < least || reading <= 0 {
		return
	}
	e := t.engine
	observed := t.work / reading / (e.Rate() / e.factor)
	e.factor = math.Exp((1-learn)*math.Log(e.factor) + learn*math.Log(min(max(observed, 1/maxFactor), maxFactor)))
}

// StreamStarted and StreamEnded count the streams that run at the engine.
func (e *Engine) StreamStarted() { e.streams++ }

// StreamEnded is the counterpart of StreamStarted.
func (e *Engine) StreamEnded() { e.streams = max(e.streams-1, 0) }
