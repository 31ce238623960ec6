package balance

import (
	"math"
	"time"

	"flamingospar.org/core/decay"
)

// Parameters of the fit of the knee.
const (
	// levelHalfLife is the half-life of samples by load level. It is long compared to the
	// time for which an endpoint is slow.
	levelHalfLife = 20 * time.Second
	// levels is the number of load levels, which cover levelRange times the slots.
	levels     = 24
	levelRange = 2.0
	// kneeStep is the ratio of a knee to the next lower one that is tried.
	kneeStep = 0.85
	// slotsWeight is the weight of the assumption that the time grows beyond the slots only,
	// against the squared differences of samples.
	slotsWeight = 2.0
	// maxLogSample bounds the logarithm of a sample: a factor of about 20.
	maxLogSample = 3.0
	// recentWeight is the weight of the latest sample in the recent answer time.
	recentWeight = 0.25
)

// growth is how the answer time of an endpoint grows with the requests in flight: not at
// all up to the knee, and in proportion beyond it.
type growth struct {
	slots   float64
	knee    float64
	byLevel [levels]levelSamples
	recent  float64 // Logarithm of the answer time below the knee, by the last few samples.
	updated time.Time
}

// levelSamples are the samples at one load level, as weighted sums.
type levelSamples struct {
	weight, inFlight, logRatio float64
}

func newGrowth(slots int) growth {
	return growth{slots: float64(slots), knee: float64(slots)}
}

// add adds an answer time that was expected to be a factor above the one below the knee, and
// fits the knee anew. Samples count relative to the last few ones, so that an endpoint that
// is slow for a while is not taken for one that becomes slower with its load.
func (g *growth) add(now time.Time, inFlight, tookMS, factor float64) {
	logTook := math.Log(tookMS)
	if g.updated.IsZero() {
		g.recent = logTook - math.Log(factor)
	}
	g.decay(now)
	index := int(inFlight / (levelRange * g.slots) * levels)
	samples := &g.byLevel[min(max(index, 0), levels-1)]
	samples.weight++
	samples.inFlight += min(inFlight, levelRange*g.slots)
	samples.logRatio += min(max(logTook-g.recent, -maxLogSample), maxLogSample)
	g.recent += recentWeight * (logTook - math.Log(factor) - g.recent)
	g.fit()
}

func (g *growth) decay(now time.Time) {
	left := decay.Remaining(now.Sub(g.updated), levelHalfLife)
	g.updated = now
	for i := range g.byLevel {
		samples := &g.byLevel[i]
		samples.weight *= left
		samples.inFlight *= left
		samples.logRatio *= left
	}
}

// fit sets the knee to the one with the lowest error.
func (g *growth) fit() {
	lowest := math.Inf(1)
	for knee := g.slots; ; knee = max(knee*kneeStep, 1) {
		if e := g.fitError(knee); e < lowest {
			g.knee, lowest = knee, e
		}
		if knee <= 1 {
			return
		}
	}
}

// fitError returns the sum of squared differences between the samples and the growth by a
// knee. The level of all samples together is free: it is the speed of the endpoint, which
// is estimated apart.
func (g *growth) fitError(knee float64) float64 {
	var weight, sum, squares float64
	for _, samples := range g.byLevel {
		if samples.weight == 0 {
			continue
		}
		inFlight := samples.inFlight / samples.weight
		difference := samples.logRatio/samples.weight - math.Log(max(1, inFlight/knee))
		weight += samples.weight
		sum += samples.weight * difference
		squares += samples.weight * difference * difference
	}
	prior := math.Log(g.slots / knee)
	if weight == 0 {
		return prior
	}
	return squares - sum*sum/weight + slotsWeight*prior*prior
}

// expectedGrowth returns the mean of max(1, (own+N)/knee) for a number N of requests of
// others that is Poisson distributed with the mean others.
func expectedGrowth(own, others, knee float64) float64 {
	expected := (own + others) / knee
	probability := math.Exp(-others)
	for n := 0.0; own+n < knee && probability > 0; n++ {
		expected += probability * (1 - (own+n)/knee)
		probability *= others / (n + 1)
	}
	return expected
}
