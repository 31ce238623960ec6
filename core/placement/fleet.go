package placement

import (
	"slices"
	"time"
)

// Limits on the engines that one decision evaluates, so that its cost does not
// grow with the fleet.
const (
	// maxFullScan is the largest fleet of which all engines are evaluated.
	maxFullScan = 96
	// localSampleSize and remoteSampleSize are the numbers of engines evaluated in
	// a larger fleet, in the data centre of this process and in others.
	localSampleSize  = 64
	remoteSampleSize = 24
	// maxAffinityEntries bounds the cache of affinity engines by prefix.
	maxAffinityEntries = 4096
)

// Fleet holds the engines of one service for a process in one data centre.
type Fleet struct {
	all      []*Engine
	local    []*Engine           // In the data centre of this process.
	remote   []*Engine           // In other data centres.
	affinity map[string]affinity // By ID of the shared prefix.
}

// NewFleet returns a fleet of engines. A new one is needed when engines are added
// or removed or change their stage.
func NewFleet(dataCentre string, engines []*Engine) *Fleet {
	f := &Fleet{all: engines, affinity: make(map[string]affinity)}
	for _, engine := range engines {
		if engine.DataCentre == dataCentre {
			f.local = append(f.local, engine)
		} else {
			f.remote = append(f.remote, engine)
		}
	}
	return f
}

// Decide places a request. In a large fleet it evaluates a sample of the engines,
// and all of them only if the sample has none that can serve the request.
func (f *Fleet) Decide(now time.Time, request Request) Decision {
	if len(f.all) <= maxFullScan {
		return Decide(now, request, f.all)
	}
	request.affinity = f.affinityOf(request)
	decision := Decide(now, request, f.sample(request))
	if decision.Verdict == NoEngine {
		return Decide(now, request, f.all)
	}
	return decision
}

// ChooseDecode returns the engine to decode a prompt after its prefill on another
// one, or nil if there is none.
func (f *Fleet) ChooseDecode(now time.Time, request Request) *Engine {
	if len(f.all) <= maxFullScan {
		return ChooseDecode(now, request, f.all)
	}
	if engine := ChooseDecode(now, request, f.sample(request)); engine != nil {
		return engine
	}
	return ChooseDecode(now, request, f.all)
}

// sample returns the engines that one decision evaluates in a large fleet: a random
// range of the local and of the remote engines, and the affinity engines of the
// prompt.
func (f *Fleet) sample(request Request) []*Engine {
	sampled := make([]*Engine, 0, localSampleSize+remoteSampleSize+2)
	sampled = appendRange(sampled, f.local, localSampleSize, request.random())
	sampled = appendRange(sampled, f.remote, remoteSampleSize, request.random())
	if request.affinity == nil {
		return sampled
	}
	for _, preferred := range []*Engine{request.affinity.local, request.affinity.any} {
		if preferred != nil && !slices.Contains(sampled, preferred) {
			sampled = append(sampled, preferred)
		}
	}
	return sampled
}

// appendRange appends up to n consecutive engines, with wraparound, from an offset
// given by random, which is in [0, 1).
func appendRange(dst, engines []*Engine, n int, random float64) []*Engine {
	if len(engines) <= n {
		return append(dst, engines...)
	}
	first := int(random * float64(len(engines)))
	for i := range n {
		dst = append(dst, engines[(first+i)%len(engines)])
	}
	return dst
}

// affinityOf returns the affinity engines of a prompt among all engines.
func (f *Fleet) affinityOf(request Request) *affinity {
	key, _ := request.Prompt.sharedPrefix()
	entry, ok := f.affinity[key]
	if !ok {
		entry = affinityOf(request, f.all)
		if len(f.affinity) >= maxAffinityEntries {
			clear(f.affinity)
		}
		f.affinity[key] = entry
	}
	_, entry.tokens = request.Prompt.sharedPrefix()
	return &entry
}
