package placement

import "time"

// Assumed pace of streams until one was seen, in milliseconds from one event to
// the next.
const (
	idlePace   = 50.0
	streamPace = 1.8 // For each stream of the engine.
)

// Shape of what streams cost and suffer.
const (
	// streamDelay is the part of a prompt's reading time that each running stream
	// of the same engine counts for, and fullDelay what is added to that as the
	// slots fill: a delayed stream keeps its slot for longer, and others need it.
	streamDelay = 0.1
	fullDelay   = 0.4
	// easyPace is the part of the allowed pause between events up to which longer
	// pauses harm nobody, and strain by how many times more a delay counts where
	// pauses are the allowed ones or longer, up to maxStrain: every stream of the
	// engine then comes late.
	easyPace  = 0.5
	strain    = 4.0
	maxStrain = 4.0
	// answerShare is the part of the time until its deadline that an answer is
	// meant to take: its length is a guess, and engines fill up.
	answerShare = 0.7
)

// Streams is what one process knows of the streams of an engine that are past
// their first token.
type Streams struct {
	Running int
	Pace    time.Duration // From one event of a stream to the next; 0 until seen.
}

// streams counts the streams of this process.
type streams struct {
	running int
	pace    float64 // Milliseconds, 0 until seen.
}

// StreamStarted and StreamEnded count the streams that run at the engine.
func (e *Engine) StreamStarted() { e.streams.running++ }

// StreamEnded is the counterpart of StreamStarted.
func (e *Engine) StreamEnded() { e.streams.running = max(e.streams.running-1, 0) }

// NotePace notes the time from one event of a stream to the next.
func (e *Engine) NotePace(gap time.Duration) {
	if e.streams.pace == 0 {
		e.streams.pace = asMillis(gap)
		return
	}
	e.streams.pace += learn * (asMillis(gap) - e.streams.pace)
}

// Streams returns the streams of this process.
func (e *Engine) Streams() Streams {
	return Streams{Running: e.streams.running, Pace: asDuration(e.streams.pace)}
}

// Running returns the streams past their first token, of all processes.
func (e *Engine) Running() int {
	running := e.streams.running
	for _, other := range e.others {
		running += other.Running
	}
	return running
}

// pace returns the milliseconds from one event of a stream to the next, as all
// processes see it that have streams there.
func (e *Engine) pace() float64 {
	sum, running := paceOf(e.Streams())
	for _, other := range e.others {
		s, n := paceOf(other)
		sum += s
		running += n
	}
	if running == 0 {
		return idlePace + streamPace*float64(e.Running())
	}
	return sum / running
}

// paceOf returns a process's pace weighted by its streams, and the weight.
func paceOf(s Streams) (sum, weight float64) {
	if s.Pace <= 0 {
		return 0, 0
	}
	return asMillis(s.Pace) * float64(s.Running), float64(s.Running)
}

// delayOfStreams returns what it costs the streams of an engine that it reads
// for some milliseconds. The request's own route stands for theirs.
func delayOfStreams(request Request, engine *Engine, reading float64) float64 {
	running := float64(engine.Running())
	used := running / float64(max(engine.Slots, 1))
	return (streamDelay + fullDelay*used*used) * reading * running * strainOf(request, engine)
}

// strainOf returns how many times as much a delay counts at an engine whose
// streams pause for about as long as the route allows.
func strainOf(request Request, engine *Engine) float64 {
	if request.Gap <= 0 {
		return 1
	}
	over := max(engine.pace()/asMillis(request.Gap)-easyPace, 0)
	return 1 + min(strain*over, maxStrain)
}

// overrun returns by how many milliseconds an answer is expected to miss the
// time that it is meant to take at an engine.
func overrun(request Request, engine *Engine) float64 {
	if request.Events == 0 {
		return 0
	}
	expected := request.Events * engine.pace()
	return max(expected-answerShare*asMillis(request.Deadline), 0)
}
