package capacity

import (
	"slices"
	"time"
)

// Numbers of samples for the current demand and its trend.
const (
	recentSamples = 2
	trendSamples  = 6
)

// History keeps samples of a pool's demand at regular intervals over the time that a
// decision looks back. It is not safe for concurrent use.
type History struct {
	interval time.Duration
	limit    int
	samples  []float64
}

// NewHistory returns an empty history of samples taken at the given interval. It
// keeps at least trendSamples samples.
func NewHistory(interval, lookBack time.Duration) *History {
	return &History{interval: interval, limit: max(trendSamples, int(lookBack/interval))}
}

// Add records the demand of the last interval, in endpoints kept busy.
func (h *History) Add(demand float64) {
	h.samples = append(h.samples, demand)
	if len(h.samples) > h.limit {
		h.samples = h.samples[1:]
	}
}

// Fill sets Demand, Peak, Trend and ObservedFor of a snapshot.
func (h *History) Fill(s *Snapshot) {
	if len(h.samples) == 0 {
		return
	}
	recent := lastOf(h.samples, recentSamples)
	past := lastOf(h.samples, trendSamples)
	s.Demand = mean(recent)
	s.Peak = slices.Max(h.samples)
	s.ObservedFor = time.Duration(len(h.samples)) * h.interval
	if apart := len(past) - recentSamples; apart > 0 {
		s.Trend = (mean(recent) - mean(past[:recentSamples])) / (h.interval.Seconds() * float64(apart))
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
