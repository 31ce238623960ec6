package capacity

import (
	"slices"
	"time"
)

// Samples over which the present demand and its trend are taken.
const (
	recentSamples = 2
	trendSamples  = 6
)

// History keeps a pool's demand at even intervals over the time that a
// decision looks back. It is not safe for concurrent use.
type History struct {
	every   time.Duration
	limit   int
	samples []float64
}

// NewHistory returns an empty history of samples that are every apart.
func NewHistory(every, lookBack time.Duration) *History {
	return &History{every: every, limit: max(trendSamples, int(lookBack/every))}
}

// Add takes the demand of the last interval, in endpoints kept busy.
func (h *History) Add(demand float64) {
	h.samples = append(h.samples, demand)
	if len(h.samples) > h.limit {
		h.samples = h.samples[1:]
	}
}

// Describe sets the demand, its peak, its trend and how long it was followed in a
// snapshot.
func (h *History) Describe(s *Snapshot) {
	if len(h.samples) == 0 {
		return
	}
	recent := lastOf(h.samples, recentSamples)
	past := lastOf(h.samples, trendSamples)
	s.Demand = mean(recent)
	s.Peak = slices.Max(h.samples)
	s.Observed = time.Duration(len(h.samples)) * h.every
	if apart := len(past) - recentSamples; apart > 0 {
		s.Trend = (mean(recent) - mean(past[:recentSamples])) / (h.every.Seconds() * float64(apart))
	}
}

func lastOf(samples []float64, n int) []float64 { return samples[max(0, len(samples)-n):] }

func mean(samples []float64) float64 {
	sum := 0.0
	for _, sample := range samples {
		sum += sample
	}
	return sum / float64(len(samples))
}
