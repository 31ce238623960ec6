// Package balance chooses among the endpoints of a service without a model. It predicts
// the time to the answer at each endpoint from the requests in flight, the endpoint's
// measured answer time and how this grows with load.
package balance

import (
	"math"
	"time"

	"flamingospar.org/core/estimate"
)

// Parameters of the prediction.
const (
	// AnswerTimeHalfLife is the half-life of samples of an endpoint's answer time. It is
	// short, since endpoints become slow and recover within seconds.
	AnswerTimeHalfLife = 3 * time.Second
	// ServiceAnswerTimeHalfLife is the half-life of samples of a service's answer time.
	ServiceAnswerTimeHalfLife = 20 * time.Second
	// minAnswerTime bounds answer times from below, against the resolution of clocks.
	minAnswerTime = 100 * time.Microsecond
	// assumedAnswerTime is the answer time of a service without samples.
	assumedAnswerTime = 30 * time.Millisecond
	// assumedWeight is the weight of assumedAnswerTime; the first sample outweighs it.
	assumedWeight = 0.01
	// meanWeight is the weight of the mean of the service in an endpoint's answer time.
	meanWeight = 0.5
	// lostAnswerTimes is what a failed request counts as, in answer times of its service: a
	// request that may not be repeated is lost to its caller.
	lostAnswerTimes = 10.0
	// maxFailureRate bounds the failure rate in a prediction.
	maxFailureRate = 0.95
	// nearEqual is the ratio to the lowest prediction up to which endpoints count as equal.
	nearEqual = 1.1
)

// AnswerTimes are the estimates of the answer time of one endpoint. Service is shared by
// the endpoints of the service.
type AnswerTimes struct {
	Service *estimate.Estimate // Answer time below the knee, in milliseconds.
	Ratio   *estimate.Estimate // Of the endpoint's answer time to that of its service.
}

// Endpoint is the load and speed of one endpoint as known to this process. It is not safe
// for concurrent use.
type Endpoint struct {
	slots  int
	times  AnswerTimes
	growth growth
	own    []*Request // In flight, the oldest first.
	peers  map[string]report
}

// NewEndpoint returns an endpoint without load.
func NewEndpoint(slots int, times AnswerTimes) *Endpoint {
	slots = max(slots, 1)
	return &Endpoint{slots: slots, times: times, growth: newGrowth(slots), peers: make(map[string]report)}
}

// Request is a request in flight.
type Request struct {
	begun  time.Time
	level  float64 // Requests in flight at its start, itself included.
	growth float64 // Expected at its start.
}

// Outcome is how a request ended.
type Outcome int

// Outcomes of a request.
const (
	Answered Outcome = iota // The endpoint ran it and answered.
	GivenUp                 // It had no answer when this process stopped waiting.
	Failed                  // It failed or did not run; its time says nothing.
)

// Begin records that a request is sent.
func (e *Endpoint) Begin(now time.Time, peerLoadFactor float64) *Request {
	others := e.Others(now, peerLoadFactor)
	own := float64(len(e.own) + 1)
	request := &Request{begun: now, level: own + others, growth: expectedGrowth(own, others, e.growth.knee)}
	e.own = append(e.own, request)
	return request
}

// End records the end of a request. Further calls for it have no effect.
func (e *Endpoint) End(now time.Time, request *Request, outcome Outcome) {
	if !e.remove(request) {
		return
	}
	tookMS := max(milliseconds(now.Sub(request.begun)), milliseconds(minAnswerTime))
	tooShort := tookMS < e.answerMS(now)*request.growth
	if outcome == Failed || outcome == GivenUp && tooShort {
		return
	}
	belowKneeMS := tookMS / request.growth
	e.growth.add(now, request.level, tookMS, request.growth)
	e.times.Ratio.Add(now, belowKneeMS/e.serviceMS(now), 1)
	e.times.Service.Add(now, belowKneeMS, 1)
}

func (e *Endpoint) remove(request *Request) bool {
	for i, known := range e.own {
		if known == request {
			e.own = append(e.own[:i], e.own[i+1:]...)
			return true
		}
	}
	return false
}

// InFlight returns the number of requests of this process in flight.
func (e *Endpoint) InFlight() int { return len(e.own) }

// Knee returns the number of requests in flight beyond which the answer time grows.
func (e *Endpoint) Knee() float64 { return e.growth.knee }

func (e *Endpoint) serviceMS(now time.Time) float64 {
	return e.times.Service.Value(now, milliseconds(assumedAnswerTime), assumedWeight)
}

// answerMS returns the answer time below the knee by the samples.
func (e *Endpoint) answerMS(now time.Time) float64 {
	return max(e.serviceMS(now)*e.times.Ratio.Value(now, 1, meanWeight), milliseconds(minAnswerTime))
}

// oldestMS returns the answer time below the knee that the requests without an answer
// show at least.
func (e *Endpoint) oldestMS(now time.Time) float64 {
	longest := 0.0
	for _, request := range e.own {
		longest = max(longest, milliseconds(now.Sub(request.begun))/request.growth)
	}
	return longest
}

// Circumstances are what a prediction depends on beside the load and speed of an endpoint.
type Circumstances struct {
	RoundTrip      time.Duration // To the endpoint's data centre.
	FailureRate    float64       // Share of requests that fail.
	PeerLoadFactor float64       // Factor from the loads of this process and its peers to those of all processes.
}

// Prediction is the predicted time to the answer of one more request, and its parts.
type Prediction struct {
	Time   time.Duration
	Answer time.Duration // Below the knee.
	Others float64       // Requests of other processes in flight.
	Knee   float64
	// OldestReport is the age of the oldest report in Others.
	OldestReport time.Duration
}

// Predict predicts the time to the answer of one more request.
func (e *Endpoint) Predict(now time.Time, c Circumstances) Prediction {
	others := e.Others(now, c.PeerLoadFactor)
	answer := max(e.answerMS(now), e.oldestMS(now))
	predicted := answer*expectedGrowth(float64(len(e.own)+1), others, e.growth.knee) + milliseconds(c.RoundTrip)
	rate := min(max(c.FailureRate, 0), maxFailureRate)
	predicted += rate / (1 - rate) * lostAnswerTimes * e.serviceMS(now)
	return Prediction{Time: duration(predicted), Answer: duration(answer), Others: others, Knee: e.growth.knee, OldestReport: e.oldestReport(now)}
}

// Choose returns the index of the lowest prediction, or a random one of those near it, and
// -1 if there is none. random returns a number from 0 up to, but not including, 1.
func Choose(predictions []Prediction, random func() float64) int {
	lowest := time.Duration(math.MaxInt64)
	for _, p := range predictions {
		lowest = min(lowest, p.Time)
	}
	var near []int
	for i, p := range predictions {
		if float64(p.Time) <= nearEqual*float64(lowest) {
			near = append(near, i)
		}
	}
	if len(near) == 0 {
		return -1
	}
	return near[int(random()*float64(len(near)))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// maxPrediction keeps predictions within the range of time.Duration.
const maxPrediction = time.Hour

func duration(ms float64) time.Duration {
	return time.Duration(min(ms, milliseconds(maxPrediction)) * float64(time.Millisecond))
}
