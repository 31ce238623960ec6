// Package estimate combines what several processes measure of one quantity. Each
// process tells the others what its own samples show, and never what it has heard, so
// that no sample counts twice. Measurements lose weight with time: a quantity that is no
// longer measured returns to what is expected of its kind.
package estimate

import (
	"math"
	"time"

	"flamingospar.org/core/decay"
)

// Bounds of what counts, against odd samples and odd messages.
const (
	// maxLog bounds the logarithm of a sample: a factor of about 22,000.
	maxLog = 10.0
	// maxWeight bounds the weight of one process.
	maxWeight = 1e4
)

// Parameters of adaptive estimates.
const (
	// surpriseLog is the difference of logarithms from which a sample is unexpected: a
	// factor of 1.65.
	surpriseLog = 0.5
	// surpriseShare is the share of its weight that all that was known loses by an
	// unexpected sample of weight 1.
	surpriseShare = 0.5
	// minKnownWeight is the weight from which a sample can be unexpected.
	minKnownWeight = 1.0
)

// Measurement is what one process has measured. The zero value says nothing.
type Measurement struct {
	LogMean float64   // Weighted mean of the natural logarithm of the samples.
	Weight  float64   // Sum of the weights of the samples, as of At.
	At      time.Time // Of the latest sample.
}

// Valid reports whether a measurement can be that of a process.
func (m Measurement) Valid() bool {
	return math.Abs(m.LogMean) <= maxLog && m.Weight >= 0 && m.Weight <= maxWeight
}

// weightAt returns the weight that is left at a time.
func (m Measurement) weightAt(now time.Time, halfLife time.Duration) float64 {
	return m.Weight * decay.Remaining(now.Sub(m.At), halfLife)
}

// add adds a sample.
func (m *Measurement) add(now time.Time, halfLife time.Duration, logValue, weight float64) {
	left := m.weightAt(now, halfLife)
	total := min(left+weight, maxWeight)
	m.LogMean += (logValue - m.LogMean) * weight / max(left+weight, weight)
	m.Weight, m.At = total, now
}

// Estimate is a quantity as measured by this process and by others. It is not safe for
// concurrent use.
type Estimate struct {
	halfLife time.Duration
	adaptive bool
	own      Measurement
	peers    map[string]Measurement // By process.
	total    total
}

// total is the sum over all measurements. Since all of them lose weight at the same rate,
// it is kept up to date by what changes, and costs the same for any number of processes.
type total struct {
	sum    float64 // Of the logarithms, by weight.
	weight float64
	at     time.Time
}

// totalAt returns the total at a time, or at that of the latest change if it is later.
func (e *Estimate) totalAt(now time.Time) total {
	if !now.After(e.total.at) {
		return e.total
	}
	left := decay.Remaining(now.Sub(e.total.at), e.halfLife)
	return total{sum: e.total.sum * left, weight: e.total.weight * left, at: now}
}

// count adds a measurement to the total, or subtracts it if sign is -1.
func (e *Estimate) count(m Measurement, sign float64) {
	left := sign * m.weightAt(e.total.at, e.halfLife)
	e.total.sum += m.LogMean * left
	e.total.weight = max(e.total.weight+left, 0)
}

// New returns an estimate whose samples lose half of their weight in each halfLife.
func New(halfLife time.Duration) *Estimate {
	return &Estimate{halfLife: halfLife, peers: make(map[string]Measurement)}
}

// NewAdaptive returns an estimate in which each unexpected sample, of this process or of
// others, reduces the weight of what was known before. It follows a lasting change within
// a few samples, and is otherwise as steady as its half-life allows.
func NewAdaptive(halfLife time.Duration) *Estimate {
	e := New(halfLife)
	e.adaptive = true
	return e
}

// Add adds a sample of this process: a positive value and its weight, 1 for an ordinary
// one. Anything else is ignored.
func (e *Estimate) Add(now time.Time, value, weight float64) {
	logValue := math.Log(value)
	if math.IsNaN(logValue) || !(weight > 0) || math.IsInf(weight, 0) {
		return
	}
	logValue = min(max(logValue, -maxLog), maxLog)
	e.total = e.totalAt(now)
	e.adapt(logValue, weight)
	e.count(e.own, -1)
	e.own.add(now, e.halfLife, logValue, weight)
	e.count(e.own, 1)
}

// adapt reduces the weight of what is known if a new sample is unexpected.
func (e *Estimate) adapt(logValue, weight float64) {
	if !e.adaptive || e.total.weight < minKnownWeight {
		return
	}
	if math.Abs(logValue-e.total.sum/e.total.weight) < surpriseLog {
		return
	}
	kept := 1 - surpriseShare*min(weight, 1)
	e.total.sum *= kept
	e.total.weight *= kept
	e.own.Weight *= kept
	for peer, m := range e.peers {
		m.Weight *= kept
		e.peers[peer] = m
	}
}

// Own returns what this process has measured, to be told to others.
func (e *Estimate) Own() Measurement { return e.own }

// SetPeer replaces what another process has measured, unless the measurement is invalid
// or older than the one known.
func (e *Estimate) SetPeer(peer string, m Measurement) {
	known := e.peers[peer]
	if !m.Valid() || m.At.Before(known.At) {
		return
	}
	e.total = e.totalAt(m.At)
	if m.At.After(known.At) {
		e.adapt(m.LogMean, m.Weight)
	}
	e.count(e.peers[peer], -1)
	e.peers[peer] = m
	e.count(m, 1)
}

// DropPeer forgets what another process has measured.
func (e *Estimate) DropPeer(peer string) {
	e.count(e.peers[peer], -1)
	delete(e.peers, peer)
}

// Value returns the estimate. expected counts like samples of weight expectedWeight.
func (e *Estimate) Value(now time.Time, expected, expectedWeight float64) float64 {
	known := e.totalAt(now)
	sum := known.sum + math.Log(expected)*expectedWeight
	weight := known.weight + expectedWeight
	if weight <= 0 {
		return expected
	}
	return math.Exp(sum / weight)
}

// Latest returns the time of the latest sample of any process, and the zero time if there
// is none.
func (e *Estimate) Latest() time.Time {
	latest := e.own.At
	for _, m := range e.peers {
		if m.At.After(latest) {
			latest = m.At
		}
	}
	return latest
}

// Weight returns the weight of all samples that is left.
func (e *Estimate) Weight(now time.Time) float64 { return e.totalAt(now).weight }
