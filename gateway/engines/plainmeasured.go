package engines

import (
	"math"
	"math/rand/v2"
	"time"

	"flamingospar.org/core/balance"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// remoteRoundTrip is the round trip to another data centre.
const remoteRoundTrip = 2 * time.Millisecond

// measurePlain makes sure that an endpoint is measured, if plain endpoints are. s.mu must
// be held.
func (s *Selector) measurePlain(plain *plainEndpoint) {
	if !s.MeasureEndpoints || plain.measured != nil {
		return
	}
	plain.measured = balance.NewEndpoint(plain.endpoint.Slots, balance.AnswerTimes{
		Service: s.estimates.register(EstimateKey{Quantity: wirev1.EndpointEstimate_QUANTITY_SERVICE_ANSWER_TIME, Service: plain.endpoint.Service}),
		Ratio:   s.estimates.register(EstimateKey{Quantity: wirev1.EndpointEstimate_QUANTITY_ANSWER_TIME, Endpoint: plain.endpoint.ID, StartedMS: plain.endpoint.StartedMS}),
	})
}

// predictPlain predicts the time to the answer of an endpoint. s.mu must be held.
func (s *Selector) predictPlain(now time.Time, plain *plainEndpoint) balance.Prediction {
	circumstances := balance.Circumstances{FailureRate: plain.Health.Rate(now), PeerLoadFactor: s.peerLoadFactor(now)}
	if plain.endpoint.DataCentre != s.dataCentre {
		circumstances.RoundTrip = remoteRoundTrip
	}
	return plain.measured.Predict(now, circumstances)
}

// soonestPlain returns the candidate with the lowest predicted time to the answer, or nil.
// s.mu must be held.
func (s *Selector) soonestPlain(now time.Time, candidates []*plainEndpoint) *plainEndpoint {
	predictions := make([]balance.Prediction, 0, len(candidates))
	for _, candidate := range candidates {
		predictions = append(predictions, s.predictPlain(now, candidate))
	}
	if i := balance.Choose(predictions, rand.Float64); i >= 0 {
		return candidates[i]
	}
	return nil
}

// beginPlain records the start of a request. The returned function records its end. s.mu
// must be held at both.
func (s *Selector) beginPlain(plain *plainEndpoint) (end func(balance.Outcome)) {
	if plain.measured == nil {
		return func(balance.Outcome) {}
	}
	now := s.now()
	request := plain.measured.Begin(now, s.peerLoadFactor(now))
	return func(outcome balance.Outcome) { plain.measured.End(s.now(), request, outcome) }
}

// plainLoads returns the loads of this process at plain endpoints. s.mu must be held.
func (s *Selector) plainLoads() []Load {
	var loads []Load
	for _, list := range s.plainByService {
		for _, plain := range list {
			if plain.measured != nil && plain.running > 0 {
				loads = append(loads, Load{Endpoint: plain.endpoint.ID, InFlight: plain.running})
			}
		}
	}
	return loads
}

// setPeerPlainLoads replaces the loads of another process at plain endpoints. s.mu must be
// held.
func (s *Selector) setPeerPlainLoads(now time.Time, peer string, loads []Load) {
	if !s.MeasureEndpoints {
		return
	}
	reported := make(map[string]int, len(loads))
	for _, load := range loads {
		reported[load.Endpoint] = load.InFlight
	}
	s.eachMeasured(func(plain *plainEndpoint) { plain.measured.SetPeer(now, peer, reported[plain.endpoint.ID]) })
}

func (s *Selector) dropPeerPlainLoads(peer string) {
	s.eachMeasured(func(plain *plainEndpoint) { plain.measured.DropPeer(peer) })
}

// eachMeasured calls f for each plain endpoint that is measured. s.mu must be held.
func (s *Selector) eachMeasured(f func(*plainEndpoint)) {
	for _, list := range s.plainByService {
		for _, plain := range list {
			if plain.measured != nil {
				f(plain)
			}
		}
	}
}

// plainGauges returns the metrics of a plain endpoint: requests of this process in flight,
// the failure rate in percent and, if it is measured, the requests of others, the predicted
// time to the answer, the answer time below the knee and ten times the knee. s.mu must be
// held.
func (s *Selector) plainGauges(now time.Time, plain *plainEndpoint) map[string]int64 {
	gauges := map[string]int64{"running": int64(plain.running), "failures_percent": percent(plain.Health.Rate(now))}
	if plain.measured == nil {
		return gauges
	}
	predicted := s.predictPlain(now, plain)
	gauges["others"] = int64(math.Round(predicted.Others))
	gauges["predicted_ms"] = predicted.Time.Milliseconds()
	gauges["answer_ms"] = predicted.Answer.Milliseconds()
	gauges["knee_tenths"] = int64(10 * predicted.Knee)
	return gauges
}
