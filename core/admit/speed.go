package admit

import "time"

// Bounds of learning an engine's speed.
const (
	rateKeep      = 0.95 // Weight kept by earlier observations.
	rateWeight    = 2.0  // Seconds of observation that the first guess counts for.
	leastObserved = 512  // Prompt tokens; smaller work mostly measures a step's fixed time.
	leastRate     = 100  // Prompt tokens a second.
)

// speed learns how many prompt tokens a second an engine processes, as the
// ratio of decayed sums of tokens and time.
type speed struct {
	tokens  float64
	seconds float64
}

func newSpeed(guess float64) speed {
	return speed{tokens: guess * rateWeight, seconds: rateWeight}
}

func (s *speed) observe(tokens, seconds float64) {
	if tokens < leastObserved || seconds <= 0 {
		return
	}
	s.tokens = s.tokens*rateKeep + tokens
	s.seconds = s.seconds*rateKeep + seconds
}

func (s *speed) value() float64 { return max(leastRate, s.tokens/s.seconds) }

// Bounds of the running limit.
const (
	intervalKeep  = 0.95 // Weight kept by earlier intervals.
	cutEvery      = 32   // Observations between two cuts.
	raiseEvery    = 64   // Observations between two raises by one.
	aim           = 0.9  // Of the wanted interval, at which the limit settles.
	deepestCut    = 0.5  // Factor of one cut, at the lowest.
	fewestRunning = 1
)

// slots limits the runs on an engine so that its token interval stays within
// bounds: it is cut in proportion to the excess and raised one by one.
type slots struct {
	most     int
	wanted   float64 // Seconds.
	current  float64
	interval float64 // Seconds, smoothed.
	seen     int
}

func newSlots(most int, wanted time.Duration) slots {
	return slots{most: most, wanted: wanted.Seconds(), current: float64(most)}
}

func (s *slots) limit() int { return int(s.current) }

// observe takes the time between two tokens of an answer, of running ones.
func (s *slots) observe(interval time.Duration, running int) {
	if s.wanted <= 0 {
		return
	}
	s.interval = s.interval*intervalKeep + interval.Seconds()*(1-intervalKeep)
	s.seen++
	switch {
	case s.interval > s.wanted && s.seen >= cutEvery:
		factor := max(deepestCut, aim*s.wanted/s.interval)
		s.current = max(fewestRunning, min(s.current, float64(running))*factor)
		s.seen = 0
	case s.interval < aim*s.wanted && s.seen >= raiseEvery:
		s.current = min(float64(s.most), s.current+1)
		s.seen = 0
	}
}
