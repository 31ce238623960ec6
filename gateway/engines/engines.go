// Package engines holds what this process believes of each endpoint's load and
// health, and asks the pure decisions of core with it.
package engines

import (
	"math/rand/v2"
	"sync"
	"time"

	"flamingospar.org/core/health"
	"flamingospar.org/core/placement"
	"flamingospar.org/platform/site"
)

// assumedMemory is an engine's memory in tokens until the configuration says.
const assumedMemory = 400_000

// Ledger is safe for concurrent use.
type Ledger struct {
	home string
	now  func() time.Time

	mu       sync.Mutex
	models   map[string]*placement.Engine
	services map[string][]*placement.Engine // Model engines by service.
	fleets   map[string]*placement.Fleet    // The same, made anew after a change.
	plain    map[string][]*plainEndpoint    // Other endpoints by service.
	known    map[string]site.Endpoint
	memory   map[string]int // Tokens, by service.
	biases   map[string]*placement.Bias
	lengths  map[string]*lengths // Of answers, by service.
	uses     uses
	spread   time.Duration
	// processes is the number of entry processes, and heard when each told last.
	processes int
	heard     map[string]time.Time
}

// New returns an empty ledger of a process in the data centre home.
func New(home string, now func() time.Time) *Ledger {
	return &Ledger{
		home: home, now: now,
		models: make(map[string]*placement.Engine), services: make(map[string][]*placement.Engine),
		plain: make(map[string][]*plainEndpoint), known: make(map[string]site.Endpoint), memory: make(map[string]int),
		biases: make(map[string]*placement.Bias), uses: uses{told: make(map[string]int)}, heard: make(map[string]time.Time),
		lengths: make(map[string]*lengths), fleets: make(map[string]*placement.Fleet),
	}
}

// spreadStep is by how much each further entry process spreads the choices of
// engines, and maxSpread bounds that.
const (
	spreadStep = 4 * time.Millisecond
	maxSpread  = 60 * time.Millisecond
)

// SetProcesses tells the number of entry processes that choose engines.
func (l *Ledger) SetProcesses(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processes = n
	l.spread = min(time.Duration(max(n-1, 0))*spreadStep, maxSpread)
}

// SetMemory tells the memory of a service's engines in tokens.
func (l *Ledger) SetMemory(service string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory[service] = tokens
}

// EndpointChanged implements fleet.Listener.
func (l *Ledger) EndpointChanged(endpoint site.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.known[endpoint.ID]
	if ok && (known.Started != endpoint.Started || known.Service != endpoint.Service) {
		l.drop(endpoint.ID)
	}
	l.known[endpoint.ID] = endpoint
	if endpoint.Stage == "" {
		l.setPlain(endpoint)
		return
	}
	l.setModel(endpoint)
}

func (l *Ledger) setModel(endpoint site.Endpoint) {
	stage := placement.Decode
	if endpoint.Stage == site.Prefill {
		stage = placement.Prefill
	}
	engine, ok := l.models[endpoint.ID]
	if !ok {
		memory := l.memory[endpoint.Service]
		if memory == 0 {
			memory = assumedMemory
		}
		engine = placement.NewEngine(endpoint.ID, endpoint.DataCentre, stage, endpoint.Slots, memory, l.bias(endpoint.Service))
		l.models[endpoint.ID] = engine
		l.services[endpoint.Service] = append(l.services[endpoint.Service], engine)
	}
	delete(l.fleets, endpoint.Service)
	engine.SetStage(stage)
	engine.Draining = endpoint.Draining
}

func (l *Ledger) bias(service string) *placement.Bias {
	if l.biases[service] == nil {
		l.biases[service] = &placement.Bias{}
	}
	return l.biases[service]
}

// EndpointGone implements fleet.Listener.
func (l *Ledger) EndpointGone(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(id)
	delete(l.known, id)
}

func (l *Ledger) drop(id string) {
	service := l.known[id].Service
	delete(l.models, id)
	delete(l.fleets, service)
	l.services[service] = without(l.services[service], func(e *placement.Engine) bool { return e.ID == id })
	l.plain[service] = without(l.plain[service], func(p *plainEndpoint) bool { return p.endpoint.ID == id })
}

func without[T any](items []T, drop func(T) bool) []T {
	kept := make([]T, 0, len(items))
	for _, item := range items {
		if !drop(item) {
			kept = append(kept, item)
		}
	}
	return kept
}

func (l *Ledger) fleet(service string) *placement.Fleet {
	if l.fleets[service] == nil {
		l.fleets[service] = placement.NewFleet(l.home, l.services[service])
	}
	return l.fleets[service]
}

// Place decides where a prompt for a service goes.
func (l *Ledger) Place(service string, request placement.Request) Placed {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.LocalDataCentre = l.home
	request.Jitter, request.Random = l.spread, rand.Float64
	decision := l.fleet(service).Decide(l.now(), request)
	placed := Placed{Decision: decision}
	if decision.Decode != nil {
		placed.DecodeAt = l.known[decision.Decode.ID]
	}
	if decision.Prefill != nil {
		placed.PrefillAt = l.known[decision.Prefill.ID]
	}
	if decision.Source != nil {
		placed.FetchFrom = l.known[decision.Source.ID].Address
	}
	return placed
}

// Continue chooses the engine that goes on with a prompt which was read at another.
func (l *Ledger) Continue(service string, request placement.Request) (site.Endpoint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	request.LocalDataCentre = l.home
	request.Jitter, request.Random = l.spread, rand.Float64
	engine := l.fleet(service).ChooseDecode(l.now(), request)
	if engine == nil {
		return site.Endpoint{}, false
	}
	return l.known[engine.ID], true
}

// Placed is a decision with the endpoints that it names.
type Placed struct {
	placement.Decision
	PrefillAt site.Endpoint
	DecodeAt  site.Endpoint
	FetchFrom string // Address of the engine that holds parts of the prompt, if any.
}

// StreamStarted notes a stream past its first token. The function returned
// notes its end.
func (l *Ledger) StreamStarted(id string) func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	engine, ok := l.models[id]
	if !ok {
		return func() {}
	}
	engine.StreamStarted()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		engine.StreamEnded()
	}
}

// Result is what a request to an endpoint came to, as far as its health goes.
type Result int

// The results.
const (
	Sound       Result = iota // It answered.
	Faulty                    // It failed a request that it had taken.
	Unreachable               // No connection could be opened.
	Overlong                  // It sent bytes without end.
	Busy                      // It refused a request that it could not take now.
)

// busyRest is how long an engine is left alone that refused a request.
const busyRest = 300 * time.Millisecond

// Note records a result.
func (l *Ledger) Note(id string, result Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.record(id)
	if record == nil {
		return
	}
	switch result {
	case Sound:
		record.Succeeded(l.now())
	case Faulty:
		record.Failed(l.now())
	case Unreachable, Overlong:
		record.Unreachable(l.now())
	case Busy:
		if engine, ok := l.models[id]; ok {
			engine.BackoffUntil = l.now().Add(busyRest)
		}
	}
}

func (l *Ledger) record(id string) *health.Record {
	if engine, ok := l.models[id]; ok {
		return &engine.Health
	}
	for _, endpoint := range l.plain[l.known[id].Service] {
		if endpoint.endpoint.ID == id {
			return &endpoint.health
		}
	}
	return nil
}
