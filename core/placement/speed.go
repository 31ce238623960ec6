package placement

import (
	"math"
	"time"

	"flamingospar.org/core/estimate"
)

// Parameters of measured speeds.
const (
	// servicePriorWeight is the weight of the assumed rates, in samples, against what
	// is measured of all engines of a service.
	servicePriorWeight = 1.0
	// enginePriorWeight is the weight of the service's speed, in samples, against what
	// is measured of one engine.
	enginePriorWeight = 0.5
	// minQueuedWeight is the weight of a sample of which all work was queued ahead.
	// That work is known only from reports.
	minQueuedWeight = 0.25
	// latencySpreadMS is the spread of the latency beyond the prefill itself. Samples
	// that are short against it say little about the speed.
	latencySpreadMS = 20.0
	// minSampleWeight is the weight below which a sample is ignored.
	minSampleWeight = 0.02
	// speedRefreshInterval is the time after which the cached value of an estimate is
	// computed again.
	speedRefreshInterval = 100 * time.Millisecond
	// maxServiceFactor bounds the ratio of the measured time of a service to the assumed
	// one, and maxRateFactor that of an engine to its service.
	maxServiceFactor = 8.0
	// engineHalfLife and serviceHalfLife are the times in which samples of an engine, and
	// of all engines of a service, lose half of their weight.
	engineHalfLife  = 1400 * time.Millisecond
	serviceHalfLife = 5 * time.Second
	// preferenceMS and preferenceShare are the largest cost of an engine that a process
	// prefers less than others: a time, and a share of the prompt's own prefill time.
	preferenceMS    = 300.0
	preferenceShare = 0.5
	// remoteStalenessShare is the share of the prompt's own prefill time that is added to
	// the cost of an engine in another data centre: most of its load is reported with more
	// delay, and long prompts of many processes would meet at the fastest one.
	remoteStalenessShare = 1.0
)

// NewEngineEstimate returns an estimate of the prefill time of one engine.
func NewEngineEstimate() *estimate.Estimate { return estimate.NewAdaptive(engineHalfLife) }

// NewServiceEstimate returns an estimate of the prefill time of all engines of a service.
func NewServiceEstimate() *estimate.Estimate { return estimate.New(serviceHalfLife) }

// ServiceSpeed is the prefill time of all engines of a service relative to the time at
// the assumed rates. The engines of a service share one.
type ServiceSpeed struct {
	estimate   *estimate.Estimate
	factor     float64
	computedAt time.Time
}

// NewServiceSpeed returns the speed of a service by an estimate from NewServiceEstimate.
func NewServiceSpeed(e *estimate.Estimate) *ServiceSpeed {
	return &ServiceSpeed{estimate: e, factor: 1}
}

// timeFactor returns the factor from the assumed prefill time to the measured one.
func (s *ServiceSpeed) timeFactor(now time.Time) float64 {
	if now.Sub(s.computedAt) >= speedRefreshInterval {
		s.factor = bounded(s.estimate.Value(now, 1, servicePriorWeight), maxServiceFactor)
		s.computedAt = now
	}
	return s.factor
}

// bounded returns a factor that is at most limit and at least its inverse.
func bounded(factor, limit float64) float64 { return min(max(factor, 1/limit), limit) }

// engineSpeed is the measured speed of one engine. Both estimates hold prefill times
// relative to the time at the assumed rate of the engine's stage.
type engineSpeed struct {
	service    *ServiceSpeed
	estimate   *estimate.Estimate
	preference float64
	factor     float64 // Without the prompts that are overdue.
	computedAt time.Time
}

// relativeTime returns the measured prefill time of the engine relative to that of its
// service.
func (s *engineSpeed) relativeTime(now time.Time) float64 {
	service := s.service.timeFactor(now)
	return bounded(s.estimate.Value(now, service, enginePriorWeight)/service, maxRateFactor)
}

// MeasureSpeed makes the rate of the engine follow measured prefill times: those of all
// engines of its service and, as far as there are any, its own. engine is from
// NewEngineEstimate and must hold no samples of another start or stage of the engine.
//
// preference is a number in [0, 1) that differs at random between processes and engines.
// Processes that know the same speeds would otherwise send their prompts to the same
// engines before they hear of each other's.
func (e *Engine) MeasureSpeed(service *ServiceSpeed, engine *estimate.Estimate, preference float64) {
	e.speed = &engineSpeed{service: service, estimate: engine, preference: preference, factor: 1}
}

// relaxedEventGap is the allowed pause between two events from which on a decode engine can read
// prompts between the events of its streams without making these late: eight usual pauses.
const relaxedEventGap = 8 * baseGapMS * time.Millisecond

// MayMeasureSpeeds reports whether the speeds of a service's engines are measured, given the
// longest pause between two events that all of its routes allow; 0 for no limit. Decode engines
// read prompts faster than assumed. Once that is measured they are sent more prompts, and the
// pauses between the events of their streams grow beyond a short limit.
func MayMeasureSpeeds(maxEventGap time.Duration) bool {
	return maxEventGap == 0 || maxEventGap >= relaxedEventGap
}

// AssumeSpeed ends the measurement of the engine. Its rate is the assumed one of its stage until
// prefills without a queue correct it.
func (e *Engine) AssumeSpeed() {
	e.speed, e.rateFactor = nil, 1
}

// spreadCost returns the cost in milliseconds that keeps processes with the same
// knowledge from choosing the same engine, for a prompt with the given prefill time.
func (e *Engine) spreadCost(localDataCentre string, prefillMS float64) float64 {
	if e.speed == nil {
		return 0
	}
	cost := e.speed.preference * (preferenceMS + preferenceShare*prefillMS)
	if e.DataCentre != localDataCentre {
		cost += remoteStalenessShare * prefillMS
	}
	return cost
}

// MeasuredSpeed is what is known of the speed of an engine.
type MeasuredSpeed struct {
	RelativeTime float64       // Prefill time relative to that of the service; above 1 if slower.
	Weight       float64       // Of the samples, in samples without queued work.
	Age          time.Duration // Of the latest sample.
}

// MeasuredSpeed returns the measured speed of the engine. ok is false if it is not
// measured or has no samples.
func (e *Engine) MeasuredSpeed(now time.Time) (speed MeasuredSpeed, ok bool) {
	if e.speed == nil || e.speed.estimate.Latest().IsZero() {
		return MeasuredSpeed{}, false
	}
	return MeasuredSpeed{
		RelativeTime: e.speed.relativeTime(now),
		Weight:       e.speed.estimate.Weight(now),
		Age:          now.Sub(e.speed.estimate.Latest()),
	}, true
}

// refreshSpeed brings the rate up to date if the speed is measured.
func (e *Engine) refreshSpeed(now time.Time) {
	if e.speed == nil || now.Sub(e.speed.computedAt) < speedRefreshInterval {
		return
	}
	speed := e.speed
	speed.computedAt = now
	speed.factor = speed.service.timeFactor(now) * speed.relativeTime(now)
	e.rateFactor = 1 / e.withOverdue(now, speed.factor)
}

// withOverdue returns a time factor with the prompts included that have taken longer
// than predicted and have not completed. The time so far is the least that they take.
func (e *Engine) withOverdue(now time.Time, factor float64) float64 {
	sum, total := 0.0, 0.0
	for assignment := range e.inFlight {
		if assignment.speed != e.speed || now.Sub(assignment.sentAt) <= assignment.Predicted {
			continue
		}
		value, weight := assignment.sample(now)
		if value <= factor || weight < minSampleWeight {
			continue
		}
		sum += math.Log(value/factor) * weight
		total += weight
	}
	if total == 0 {
		return factor
	}
	known := e.speed.estimate.Weight(now) + enginePriorWeight
	return factor * math.Exp(sum/(known+total))
}

// sample returns the time of a prefill, complete at the given time, relative to the time
// at the assumed rate, and the weight of this sample.
func (a *Assignment) sample(now time.Time) (value, weight float64) {
	assumed := a.levelWork() / a.engine.assumedRate(a.stage)
	if assumed <= 0 {
		return 0, 0
	}
	factor := a.speed.factor
	elapsed := asMillis(now.Sub(a.sentAt)) - baseLatencyMS
	value = factor * bounded(elapsed/assumed/factor, maxRateFactor)
	return value, a.sampleWeight(assumed * factor)
}

// levelWork returns the work of the prompt and the work ahead of it, corrected for its
// priority level.
func (a *Assignment) levelWork() float64 {
	return a.workAhead*a.engine.bias.factor(a.level) + a.totalWork - a.workAhead
}

// sampleWeight returns the weight of the sample of a prefill that is expected to take a
// time beyond the latency of an idle engine.
func (a *Assignment) sampleWeight(expectedMS float64) float64 {
	queued := 1 - (1-minQueuedWeight)*a.workAhead/a.totalWork
	return queued * expectedMS * expectedMS / (expectedMS*expectedMS + latencySpreadMS*latencySpreadMS)
}

// updateSpeed adds the sample of a completed prefill. What the engine and its service
// don't explain corrects the priority level, in proportion to the share of work that was
// queued ahead.
func (a *Assignment) updateSpeed(now time.Time) {
	value, weight := a.sample(now)
	if weight < minSampleWeight {
		return
	}
	a.speed.service.estimate.Add(now, value, weight)
	a.speed.estimate.Add(now, value, weight)
	a.speed.computedAt = time.Time{}
	share := a.workAhead / a.totalWork
	a.engine.bias.add(a.level, share*math.Log(value/a.speed.factor))
}
