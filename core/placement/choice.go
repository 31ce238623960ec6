package placement

import (
	"time"

	"flamingospar.org/core/availability"
)

// bestSource returns the engine that has most of a prompt cached, and the number of
// cached tokens. A local engine wins a tie.
func bestSource(now time.Time, request Request, engines []*Engine) (*Engine, int) {
	var best *Engine
	bestCached := 0
	for _, engine := range engines {
		if engine.Health.Ejected(now) {
			continue
		}
		cached := engine.cache.CachedTokens(request.Prompt.Parts)
		if cached > bestCached || (cached == bestCached && best != nil && engine.DataCentre == request.LocalDataCentre && best.DataCentre != request.LocalDataCentre) {
			best, bestCached = engine, cached
		}
	}
	return best, bestCached
}

// ChooseDecode returns the engine to decode a prompt after its prefill on another
// one, or nil if there is none. It is called when the prefill is done, since the
// state of the engines may have changed since the request arrived.
func ChooseDecode(now time.Time, request Request, engines []*Engine) *Engine {
	best, _ := bestDecode(now, request, candidates(now, request, engines))
	return best
}

// bestDecode returns the decode engine with the lowest cost, and the cost in
// milliseconds.
func bestDecode(now time.Time, request Request, engines []*Engine) (*Engine, float64) {
	var best *Engine
	bestCost := 0.0
	for _, engine := range engines {
		if engine.Stage != Decode {
			continue
		}
		cost := engineCost(now, request, engine) + slotWaitMS(engine) + deadlineOverrunMS(request, engine) + float64(engine.Running()) + float64(engine.PendingCount()) + engine.overdueMS(now, request, request.Level) + jitter(request)/4
		if best == nil || cost < bestCost {
			best, bestCost = engine, cost
		}
	}
	return best, bestCost
}

// candidates returns the engines that may be used: those of the requested version that are
// neither excluded nor passed over for any reason. If none of these can decode, engines
// that are passed over for a reason that is not binding are included.
func candidates(now time.Time, request Request, engines []*Engine) []*Engine {
	allowed := make([]*Engine, 0, len(engines))
	available := make([]*Engine, 0, len(engines))
	canDecode := false
	for _, engine := range engines {
		passedOver := engine.PassOver(now, false)
		if passedOver.Reason.Binding() || request.Exclude[engine.ID] || !request.Allows(engine.Version) {
			continue
		}
		allowed = append(allowed, engine)
		if passedOver.Reason != availability.None {
			continue
		}
		available = append(available, engine)
		canDecode = canDecode || engine.Stage == Decode
	}
	if canDecode {
		return available
	}
	return allowed
}

// slotWaitMS returns the expected time that a new stream waits for a slot.
func slotWaitMS(engine *Engine) float64 {
	used := engine.Running() + engine.PendingCount()
	excess := float64(used+1) - slotQueueShare*float64(max(engine.Slots, 1))
	return max(excess, 0) * asMillis(slotFreeInterval)
}

// engineCost returns the penalty in milliseconds for the failure rate and the data
// centre of an engine.
func engineCost(now time.Time, request Request, engine *Engine) float64 {
	cost := engine.Health.Rate(now) * asMillis(failureCost)
	if engine.DataCentre != request.LocalDataCentre {
		cost += asMillis(request.RemoteCost)
	}
	return cost
}
