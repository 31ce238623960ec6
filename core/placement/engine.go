package placement

import (
	"math"
	"time"

	"flamingospar.org/core/availability"
)

// Stage is the phase of inference that an engine serves.
type Stage int

// Stages of an engine.
const (
	Decode  Stage = iota // Generates tokens; also runs prefill, but more slowly.
	Prefill              // Runs prefill only, for engines of the stage Decode.
)

// Parameters of the engine model. Rates are assumptions until an engine has been
// observed.
const (
	// prefillTokensPerMS and decodeTokensPerMS are the assumed prefill rates by
	// stage, in prompt tokens per millisecond.
	prefillTokensPerMS = 60.0
	decodeTokensPerMS  = 25.0
	// baseLatencyMS is the latency of an idle engine beyond the prefill itself.
	baseLatencyMS = 58.0
	// ewmaWeight is the weight of the latest observation in the moving averages
	// of an engine's rate and event gap.
	ewmaWeight = 0.1
	// biasEWMAWeight is the weight of the latest observation in Bias.
	biasEWMAWeight = 0.05
	// maxQueuedWorkShare is the largest share of queued work in the total work of a
	// prompt for which its prefill time is used to estimate the engine's rate.
	maxQueuedWorkShare = 0.1
	// minSampleTokens is the work below which an observation reflects the base
	// latency more than the rate.
	minSampleTokens = 800.0
	// contextCostPerToken is the relative increase of the prefill time of a token
	// for each token before it: the cost of attention grows with the context.
	contextCostPerToken = 3.5e-5
	// overdueShare is the share of an engine's current delay that is added to the
	// predicted time of the next prompt.
	overdueShare = 0.5
	// resumeLatency is the time that an engine takes to start decoding after
	// prefill elsewhere.
	resumeLatency = 40 * time.Millisecond
	// maxRateFactor bounds the ratio of observed to assumed values.
	maxRateFactor = 4.0
	// cacheMemoryShare is the share of an engine's memory that its prefix cache is
	// assumed to use.
	cacheMemoryShare = 0.8
)

// Engine is the state of one model engine as estimated by this process.
type Engine struct {
	ID         string
	DataCentre string
	Stage      Stage
	Slots      int
	Version    string // Of its software.
	availability.State
	// LastAnswer is when this process last received an answer or part of one.
	LastAnswer time.Time

	backlog     backlog
	inFlight    map[*Assignment]bool // Assignments that have not finished.
	cache       *Cache
	streams     streams            // Streams of this process.
	peerStreams map[string]Streams // By process: its last report.
	bias        *Bias
	rateFactor  float64      // Observed rate divided by the assumed one.
	speed       *engineSpeed // nil if the speed is not measured.
}

// Bias corrects predicted prefill times by priority level. It holds the logarithm
// of the ratio of observed to predicted time, since more urgent prompts that
// arrive later overtake queued ones. The engines of a service share one Bias. The
// zero value corrects nothing.
type Bias [PriorityLevels]float64

func (b *Bias) factor(level int) float64 { return math.Exp(b[level]) }

func (b *Bias) update(level int, ratio float64) {
	ratio = min(max(ratio, 1/maxRateFactor), maxRateFactor)
	b[level] = (1-biasEWMAWeight)*b[level] + biasEWMAWeight*math.Log(ratio)
}

// add adds a part of the logarithm of a ratio to the correction of a level.
func (b *Bias) add(level int, logRatio float64) {
	limit := math.Log(maxRateFactor)
	b[level] = min(max(b[level]+biasEWMAWeight*logRatio, -limit), limit)
}

// NewEngine returns an engine with an empty prefix cache. memoryTokens is the
// size of the engine's KV memory in tokens.
func NewEngine(id, dataCentre string, stage Stage, slots, memoryTokens int, bias *Bias) *Engine {
	return &Engine{
		ID: id, DataCentre: dataCentre, Stage: stage, Slots: slots, cache: NewCache(int(float64(memoryTokens) * cacheMemoryShare)), rateFactor: 1,
		bias: bias, inFlight: make(map[*Assignment]bool), peerStreams: make(map[string]Streams), backlog: newBacklog(),
	}
}

// Rate returns the estimated prefill rate in tokens per millisecond.
func (e *Engine) Rate() float64 { return e.RateAtStage(e.Stage) }

// RateAtStage returns the prefill rate that the engine would have at a stage.
func (e *Engine) RateAtStage(stage Stage) float64 {
	return e.assumedRate(stage) * e.rateFactor
}

// assumedRate returns the rate that is assumed of a stage.
func (*Engine) assumedRate(stage Stage) float64 {
	if stage == Prefill {
		return prefillTokensPerMS
	}
	return decodeTokensPerMS
}

// SetStage changes the stage and keeps the ratio of observed to assumed rate.
func (e *Engine) SetStage(stage Stage) { e.Stage = stage }

// PendingCount returns the number of pending prompts from this process.
func (e *Engine) PendingCount() int { return e.backlog.localCount() }

// prefillWork returns the work to process a prompt, in units of the prefill of one
// token without context. fetched is the number of tokens that the engine can fetch
// from another one.
func (e *Engine) prefillWork(prompt Prompt, fetched int) float64 {
	cached := float64(min(max(e.cache.CachedTokens(prompt.Parts), fetched), prompt.Tokens))
	return uncachedWork(float64(prompt.Tokens)-cached, cached)
}

// uncachedWork returns the work to process a number of tokens after others that are
// cached.
func uncachedWork(uncached, cached float64) float64 {
	return uncached * (1 + contextCostPerToken*(cached+uncached/2))
}

// workAhead returns the work that is done before a prompt of a level that is sent
// now.
func (e *Engine) workAhead(now time.Time, level int) float64 {
	e.refreshSpeed(now)
	e.backlog.advance(now, e.Rate())
	return e.backlog.workAhead(level)
}

// predictPrefillMS returns the predicted time until the prefill of a prompt that
// is sent now is done.
func (e *Engine) predictPrefillMS(now time.Time, request Request, level, fetched int) float64 {
	return baseLatencyMS + e.prefillMS(e.workAhead(now, level), e.prefillWork(request.Prompt, fetched), level) + e.overdueMS(now, request, level)
}

// prefillMS returns the time to process the work of a prompt and the work ahead of
// it, corrected for its priority level. With a measured speed the correction applies to
// the work ahead alone: only a prompt that waits is overtaken.
func (e *Engine) prefillMS(workAhead, work float64, level int) float64 {
	if e.speed != nil {
		return (workAhead*e.bias.factor(level) + work) / e.Rate()
	}
	return (workAhead + work) / e.Rate() * e.bias.factor(level)
}

// overdueMS returns the delay that the next prompt of a level is expected to see because
// the engine has exceeded its predictions: it is slower than estimated or does not answer.
//
// With UrgentFirst, a less urgent prompt in flight counts only for the time in which the
// engine has not answered at all. It is overdue in any case while more urgent ones keep
// overtaking it, and says nothing of these.
func (e *Engine) overdueMS(now time.Time, request Request, level int) float64 {
	maxDelay := time.Duration(0)
	for assignment := range e.inFlight {
		due := assignment.sentAt.Add(assignment.Predicted)
		if request.UrgentFirst && assignment.level > level && e.LastAnswer.After(due) {
			due = e.LastAnswer
		}
		maxDelay = max(maxDelay, now.Sub(due))
	}
	return overdueShare * asMillis(maxDelay)
}

// QueueTime returns the estimated time until all queued prefill work is done.
func (e *Engine) QueueTime(now time.Time) time.Duration {
	return asDuration(e.workAhead(now, PriorityLevels-1) / e.Rate())
}

// PendingPrompts returns the prompts from this process whose prefill is not known
// to have finished.
func (e *Engine) PendingPrompts(now time.Time) []PendingPrompt {
	e.backlog.advance(now, e.Rate())
	return e.backlog.localPrompts(now)
}

// SetPeer replaces what another process last reported to run at the engine.
func (e *Engine) SetPeer(now time.Time, peer string, pending []PendingPrompt, streams Streams) {
	e.backlog.advance(now, e.Rate())
	e.backlog.setPeer(now, peer, pending)
	e.peerStreams[peer] = streams
}

// DropPeer removes the report of another process.
func (e *Engine) DropPeer(peer string) {
	delete(e.backlog.peers, peer)
	delete(e.peerStreams, peer)
}

// MarkCached records that a prompt with these leading parts was sent to the
// engine.
func (e *Engine) MarkCached(parts []Part) { e.cache.Use(parts) }

// Assignment is a prompt that was sent to an engine.
type Assignment struct {
	engine    *Engine
	task      *task
	speed     *engineSpeed // Of the engine when it was sent.
	stage     Stage        // Of the engine when it was sent.
	level     int
	sentAt    time.Time
	workAhead float64       // When it was sent.
	totalWork float64       // workAhead and its own work.
	Predicted time.Duration // Time until the prefill is done.
	open      bool
}

// Send records that a prompt is sent to the engine now. fetched is the number of
// its tokens that the engine can fetch from another one.
func (e *Engine) Send(now time.Time, prompt Prompt, level, fetched int) *Assignment {
	work := e.prefillWork(prompt, fetched)
	workAhead := e.workAhead(now, level)
	e.cache.Use(prompt.Parts)
	return e.open(now, level, work, workAhead, asDuration(baseLatencyMS+e.prefillMS(workAhead, work, level)))
}

// SendPrefilled records that a prompt is sent to the engine now after prefill on
// another one.
func (e *Engine) SendPrefilled(now time.Time, prompt Prompt, level int) *Assignment {
	e.backlog.advance(now, e.Rate())
	e.cache.Use(prompt.Parts)
	return e.open(now, level, 0, 0, resumeLatency)
}

func (e *Engine) open(now time.Time, level int, work, workAhead float64, predicted time.Duration) *Assignment {
	assignment := &Assignment{engine: e, speed: e.speed, stage: e.Stage, task: e.backlog.add(now, level, work), level: level, sentAt: now, workAhead: workAhead, totalWork: workAhead + work, Predicted: predicted, open: true}
	e.inFlight[assignment] = true
	return assignment
}

// PrefillDone records that the prefill is done and updates the estimates with the
// time that it took.
func (a *Assignment) PrefillDone(now time.Time) {
	switch {
	case !a.open:
	case a.speed != nil:
		a.updateSpeed(now)
	default:
		a.updateEstimates(now)
	}
	a.Cancel(now)
}

// Cancel closes the assignment without updating the estimates.
func (a *Assignment) Cancel(now time.Time) {
	if !a.open {
		return
	}
	a.open = false
	delete(a.engine.inFlight, a)
	a.engine.backlog.advance(now, a.engine.Rate())
	a.engine.backlog.remove(a.task)
}

// updateEstimates corrects the engine's rate if little work was queued ahead of the
// prompt, and otherwise the bias of its priority level.
func (a *Assignment) updateEstimates(now time.Time) {
	elapsed := asMillis(now.Sub(a.sentAt)) - baseLatencyMS
	if a.totalWork < minSampleTokens || elapsed <= 0 {
		return
	}
	e := a.engine
	if a.workAhead > maxQueuedWorkShare*a.totalWork {
		e.bias.update(a.level, elapsed/(a.totalWork/e.Rate()))
		return
	}
	ratio := a.totalWork / elapsed / (e.Rate() / e.rateFactor)
	e.rateFactor = math.Exp((1-ewmaWeight)*math.Log(e.rateFactor) + ewmaWeight*math.Log(min(max(ratio, 1/maxRateFactor), maxRateFactor)))
}
