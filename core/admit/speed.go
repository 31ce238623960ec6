package admit

import "time"

// Parameters of the prompt rate estimate.
const (
	rateDecay          = 0.95 // Factor on earlier observations at each new one.
	initialRateSeconds = 2.0  // Seconds of observation that the initial estimate counts for.
	minObservedTokens  = 512  // Prompt tokens; the time of smaller runs is dominated by the fixed time of a step.
	minTokensPerSecond = 100  // Lower bound of the estimate.
)

// rateEstimator estimates how many prompt tokens per second an engine processes, as
// the ratio of decayed sums of tokens and time.
type rateEstimator struct {
	tokens  float64
	seconds float64
}

func newRateEstimator(initial float64) rateEstimator {
	return rateEstimator{tokens: initial * initialRateSeconds, seconds: initialRateSeconds}
}

func (s *rateEstimator) observe(tokens, seconds float64) {
	if tokens < minObservedTokens || seconds <= 0 {
		return
	}
	s.tokens = s.tokens*rateDecay + tokens
	s.seconds = s.seconds*rateDecay + seconds
}

func (s *rateEstimator) value() float64 { return max(minTokensPerSecond, s.tokens/s.seconds) }

// Parameters of the concurrency limit.
const (
	intervalDecay             = 0.95 // Weight of earlier token intervals in the moving average.
	decreaseEveryObservations = 32   // Minimum number of observations before a decrease.
	increaseEveryObservations = 64   // Minimum number of observations before an increase by one.
	settleFraction            = 0.9  // Fraction of maxInterval at which the limit settles.
	minDecreaseFactor         = 0.5  // Lower bound of the factor of one decrease.
	minRunning                = 1
)

// slots limits the concurrent runs on an engine so that the interval between the
// tokens of an answer stays below maxInterval. The limit is decreased in proportion
// to the excess and increased by one at a time.
type slots struct {
	maxRunning   int
	maxInterval  float64 // Seconds.
	current      float64
	interval     float64 // Moving average in seconds.
	observations int     // Since the limit last changed.
}

func newSlots(maxRunning int, maxInterval time.Duration) slots {
	return slots{maxRunning: maxRunning, maxInterval: maxInterval.Seconds(), current: float64(maxRunning)}
}

func (s *slots) limit() int { return int(s.current) }

// observe records the time between two tokens of an answer while the given number of
// runs are on the engine.
func (s *slots) observe(interval time.Duration, running int) {
	if s.maxInterval <= 0 {
		return
	}
	s.interval = s.interval*intervalDecay + interval.Seconds()*(1-intervalDecay)
	s.observations++
	switch {
	case s.interval > s.maxInterval && s.observations >= decreaseEveryObservations:
		factor := max(minDecreaseFactor, settleFraction*s.maxInterval/s.interval)
		s.current = max(minRunning, min(s.current, float64(running))*factor)
		s.observations = 0
	case s.interval < settleFraction*s.maxInterval && s.observations >= increaseEveryObservations:
		s.current = min(float64(s.maxRunning), s.current+1)
		s.observations = 0
	}
}
