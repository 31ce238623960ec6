// Package stages decides how many model engines only read prompts, and which
// engine changes next. It answers a mix that shifts between long prompts and
// long answers: engines that read beside running streams do it slowly and delay
// the streams, engines that only read stand idle when answers are long.
package stages

import "math"

// Engine is an engine whose stage may be changed.
type Engine struct {
	ID         string
	DataCentre string
	Prefill    bool
	Load       int // Prompts and streams that this process knows it has.
}

// Demand is the work of a mix, in engines that would be busy with it.
type Demand struct {
	Reading   float64 // Engines that only read, at full speed.
	Producing float64 // Engines with as many streams as keep their pauses short.
}

// Change is an engine that changes its stage.
type Change struct {
	ID      string
	Prefill bool // The stage it changes to.
	Target  int  // Engines that should only read.
	Now     int  // Engines that do.
}

// Shape of the decision.
const (
	// untilSeen is the share of engines that read before any demand was seen.
	untilSeen = 0.35
	// leastDemand is the demand below which it tells nothing about the mix.
	leastDemand = 0.2
	// hysteresis is by how many engines the target must differ.
	hysteresis = 0.8
)

// Plan returns the next change, if any. One engine of each stage always stays.
func Plan(demand Demand, engines []Engine) (Change, bool) {
	if len(engines) < 2 {
		return Change{}, false
	}
	reading := 0
	for _, engine := range engines {
		if engine.Prefill {
			reading++
		}
	}
	wanted := share(demand) * float64(len(engines))
	target := min(max(int(math.Round(wanted)), 1), len(engines)-1)
	if target == reading || (math.Abs(wanted-float64(reading)) < hysteresis && reading > 0 && reading < len(engines)) {
		return Change{}, false
	}
	change := Change{Prefill: target > reading, Target: target, Now: reading}
	change.ID = candidate(engines, change.Prefill)
	return change, change.ID != ""
}

// share returns the part of the engines that should only read.
func share(demand Demand) float64 {
	total := demand.Reading + demand.Producing
	if total < leastDemand {
		return untilSeen
	}
	return demand.Reading / total
}

// candidate returns the engine to change: in the data centre with the most
// engines of the stage that gives one up, and there the least loaded.
func candidate(engines []Engine, toPrefill bool) string {
	giving := make(map[string]int)
	for _, engine := range engines {
		if engine.Prefill != toPrefill {
			giving[engine.DataCentre]++
		} else {
			giving[engine.DataCentre]--
		}
	}
	best := -1
	for i, engine := range engines {
		if engine.Prefill == toPrefill {
			continue
		}
		if best < 0 || before(engine, engines[best], giving) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return engines[best].ID
}

func before(a, b Engine, giving map[string]int) bool {
	if giving[a.DataCentre] != giving[b.DataCentre] {
		return giving[a.DataCentre] > giving[b.DataCentre]
	}
	if a.Load != b.Load {
		return a.Load < b.Load
	}
	return a.ID < b.ID
}
