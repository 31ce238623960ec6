package placement

import (
	"slices"
	"time"
)

// Bounds of what one decision looks at, so that its cost does not grow with the
// fleet.
const (
	// mostLooked is the number of engines up to which all are looked at.
	mostLooked = 96
	// nearLooked and farLooked are how many are looked at in a larger fleet, of
	// the own data centre and of others.
	nearLooked = 64
	farLooked  = 24
	// maxHomes bounds the homes that are remembered.
	maxHomes = 4096
)

// Fleet is the engines of one service, as a process in one data centre chooses
// among them.
type Fleet struct {
	all   []*Engine
	near  []*Engine // Of the own data centre.
	far   []*Engine // Of others.
	homes map[string]homes
}

// NewFleet returns the fleet of some engines. It must be made anew when engines
// come, go, or change their stage.
func NewFleet(dataCentre string, engines []*Engine) *Fleet {
	f := &Fleet{all: engines, homes: make(map[string]homes)}
	for _, engine := range engines {
		if engine.DataCentre == dataCentre {
			f.near = append(f.near, engine)
		} else {
			f.far = append(f.far, engine)
		}
	}
	return f
}

// Decide places a request on one of the engines.
func (f *Fleet) Decide(now time.Time, request Request) Decision {
	if len(f.all) <= mostLooked {
		return Decide(now, request, f.all)
	}
	request.homes = f.homesOf(request)
	decision := Decide(now, request, f.look(request))
	if decision.Verdict == Nobody {
		return Decide(now, request, f.all)
	}
	return decision
}

// Continue chooses the engine that goes on with a prompt which was read at
// another, or nil when there is none.
func (f *Fleet) Continue(now time.Time, request Request) *Engine {
	if len(f.all) <= mostLooked {
		return Continue(now, request, f.all)
	}
	if engine := Continue(now, request, f.look(request)); engine != nil {
		return engine
	}
	return Continue(now, request, f.all)
}

// look returns the engines that one decision looks at in a large fleet: some of
// each kind of place, others each time, and the homes of the prompt's parts.
func (f *Fleet) look(request Request) []*Engine {
	looked := make([]*Engine, 0, nearLooked+farLooked+2)
	looked = some(looked, f.near, nearLooked, request.random())
	looked = some(looked, f.far, farLooked, request.random())
	if request.homes == nil {
		return looked
	}
	for _, home := range []*Engine{request.homes.near, request.homes.any} {
		if home != nil && !slices.Contains(looked, home) {
			looked = append(looked, home)
		}
	}
	return looked
}

// some appends up to n of the engines, from a place in the list on that random,
// in [0, 1), gives.
func some(looked, engines []*Engine, n int, random float64) []*Engine {
	if len(engines) <= n {
		return append(looked, engines...)
	}
	first := int(random * float64(len(engines)))
	for i := range n {
		looked = append(looked, engines[(first+i)%len(engines)])
	}
	return looked
}

// homesOf returns the homes of a prompt's shared parts among all engines.
func (f *Fleet) homesOf(request Request) *homes {
	key, _ := request.Prompt.homeKey()
	known, ok := f.homes[key]
	if !ok {
		known = homesOf(request, f.all)
		if len(f.homes) >= maxHomes {
			clear(f.homes)
		}
		f.homes[key] = known
	}
	_, known.tokens = request.Prompt.homeKey()
	return &known
}
