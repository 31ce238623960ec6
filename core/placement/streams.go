package placement

import "time"

// Assumed time between two events of a stream until one has been observed.
const (
	baseGapMS      = 50.0
	gapMSPerStream = 1.8 // Added for each running stream of the engine.
)

// Parameters of the cost of delayed streams.
const (
	// streamDelayWeight is the share of a prompt's prefill time that is charged for
	// each stream running at the same engine. slotUseDelayWeight, scaled by the
	// square of the slot use, is added to it: a delayed stream holds its slot for
	// longer while others wait for one.
	streamDelayWeight  = 0.1
	slotUseDelayWeight = 0.4
	// freeGapShare is the share of the allowed event gap up to which a delay counts
	// once. Above it the factor grows by gapPressureFactor for each multiple of
	// the allowed gap, by maxGapPressure at most: near the allowed gap, a delay
	// makes every stream of the engine late.
	freeGapShare      = 0.5
	gapPressureFactor = 4.0
	maxGapPressure    = 4.0
	// answerTimeShare is the share of the deadline that an answer is planned to
	// take. The rest is a margin, since its length is an estimate and engines fill
	// up.
	answerTimeShare = 0.7
)

// Streams describes the streams of one process at an engine that are past their
// first token.
type Streams struct {
	Running  int
	EventGap time.Duration // Time between two events of a stream; 0 if not yet observed.
}

// streams is the state behind the Streams of this process.
type streams struct {
	running int
	gapMS   float64 // Moving average; 0 if not yet observed.
}

// StreamStarted counts a stream that has produced its first token.
func (e *Engine) StreamStarted() { e.streams.running++ }

// StreamEnded reverses one call of StreamStarted.
func (e *Engine) StreamEnded() { e.streams.running = max(e.streams.running-1, 0) }

// ObserveEventGap updates the average with the time between two events of a stream.
func (e *Engine) ObserveEventGap(gap time.Duration) {
	if e.streams.gapMS == 0 {
		e.streams.gapMS = asMillis(gap)
		return
	}
	e.streams.gapMS += ewmaWeight * (asMillis(gap) - e.streams.gapMS)
}

// Streams returns the streams of this process.
func (e *Engine) Streams() Streams {
	return Streams{Running: e.streams.running, EventGap: asDuration(e.streams.gapMS)}
}

// Running returns the number of streams of all processes that are past their first
// token.
func (e *Engine) Running() int {
	running := e.streams.running
	for _, other := range e.peerStreams {
		running += other.Running
	}
	return running
}

// eventGapMS returns the time between two events of a stream: the average of all
// processes with streams at the engine, weighted by the number of streams.
func (e *Engine) eventGapMS() float64 {
	sum, running := weightedGap(e.Streams())
	for _, other := range e.peerStreams {
		s, n := weightedGap(other)
		sum += s
		running += n
	}
	if running == 0 {
		return baseGapMS + gapMSPerStream*float64(e.Running())
	}
	return sum / running
}

// weightedGap returns a process's event gap multiplied by its number of streams, and
// that number.
func weightedGap(s Streams) (sum, weight float64) {
	if s.EventGap <= 0 {
		return 0, 0
	}
	return asMillis(s.EventGap) * float64(s.Running), float64(s.Running)
}

// streamDelayCost returns the cost of delaying the running streams of an engine by
// a prefill. The gap that the request's route allows is assumed for all of them.
func streamDelayCost(request Request, engine *Engine, prefillMS float64) float64 {
	running := float64(engine.Running())
	used := running / float64(max(engine.Slots, 1))
	return (streamDelayWeight + slotUseDelayWeight*used*used) * prefillMS * running * gapPressure(request, engine)
}

// gapPressure returns the factor by which a delay counts more as the event gap of an
// engine approaches the longest that the route allows.
func gapPressure(request Request, engine *Engine) float64 {
	if request.MaxEventGap <= 0 {
		return 1
	}
	excess := max(engine.eventGapMS()/asMillis(request.MaxEventGap)-freeGapShare, 0)
	return 1 + min(gapPressureFactor*excess, maxGapPressure)
}

// deadlineOverrunMS returns the time by which an answer is expected to exceed its
// planned time at an engine.
func deadlineOverrunMS(request Request, engine *Engine) float64 {
	if request.ExpectedEvents == 0 {
		return 0
	}
	expected := request.ExpectedEvents * engine.eventGapMS()
	return max(expected-answerTimeShare*asMillis(request.Deadline), 0)
}
