// Package engines tracks the load and health of endpoints as estimated by this
// process and selects endpoints for requests, with the decision logic of core.
package engines

import (
	"math/rand/v2"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/availability"
	"flamingospar.org/core/placement"
	"flamingospar.org/platform/site"
)

// defaultMemoryTokens is the assumed size of an engine's KV memory while the
// configuration does not state it.
const defaultMemoryTokens = 400_000

// Selector selects endpoints by their estimated load and health. It is safe for
// concurrent use.
type Selector struct {
	// Limits knows the rate limits of endpoints. It must be set before the first use, if
	// at all. Its lock is acquired while that of the selector is held.
	Limits SendLimits
	// Versions knows the software versions at which no stream may begin. It must be set
	// before the first use, if at all. Its lock is acquired while that of the selector is
	// held.
	Versions StreamVersions
	// OnStatement, if set, is called for each endpoint that gets no requests from now on
	// because it said so.
	OnStatement StatementFunc
	// MeasureEndpoints makes the choice of endpoints depend on their measured speeds and, for
	// plain ones, on the requests of all processes. Engines are measured only for services that
	// allow long pauses between events; see SetMaxEventGap. It must be set before the first
	// endpoint is added.
	MeasureEndpoints bool

	lines      logging.LineBudget
	dataCentre string
	now        func() time.Time

	mu               sync.Mutex
	enginesByID      map[string]*placement.Engine   // Model engines by ID.
	enginesByService map[string][]*placement.Engine // The same by service.
	fleets           map[string]*placement.Fleet    // By service; rebuilt on demand after a change.
	plainByService   map[string][]*plainEndpoint    // Endpoints of services without a model.
	endpoints        map[string]site.Endpoint       // All known ones by ID.
	memoryTokens     map[string]int                 // By service.
	maxEventGaps     map[string]time.Duration       // By service; see SetMaxEventGap.
	biases           map[string]*placement.Bias     // By service.
	lengthsByService map[string]*meanLengths        // Of responses, by service.
	statements       *availability.Statements       // Of listed and former endpoints.
	estimates        *estimates
	differentEngines map[string]bool // Those that a line said to differ in speed from their service.
	speedsCheckedAt  time.Time
	serviceSpeeds    map[string]*placement.ServiceSpeed // By service; empty unless MeasureEndpoints is set.
	sentPrompts      sentPromptList
	jitter           time.Duration
	processes        int                  // Entry processes, this one included.
	peerReportedAt   map[string]time.Time // Time of the last load report, by peer.
}

// New returns a selector without endpoints for a process in dataCentre.
func New(dataCentre string, now func() time.Time) *Selector {
	return &Selector{
		Limits: noLimits{}, Versions: noVersions{}, dataCentre: dataCentre, now: now,
		enginesByID: make(map[string]*placement.Engine), enginesByService: make(map[string][]*placement.Engine),
		plainByService: make(map[string][]*plainEndpoint), endpoints: make(map[string]site.Endpoint), memoryTokens: make(map[string]int), maxEventGaps: make(map[string]time.Duration),
		biases: make(map[string]*placement.Bias), sentPrompts: sentPromptList{nextSeq: make(map[string]int)}, peerReportedAt: make(map[string]time.Time),
		lengthsByService: make(map[string]*meanLengths), fleets: make(map[string]*placement.Fleet), statements: availability.NewStatements(),
		estimates: newEstimates(), differentEngines: make(map[string]bool), serviceSpeeds: make(map[string]*placement.ServiceSpeed),
	}
}

// jitterPerProcess is the jitter that each further entry process adds to the cost
// of engines, and maxJitter the limit of the sum.
const (
	jitterPerProcess = 4 * time.Millisecond
	maxJitter        = 60 * time.Millisecond
)

// SetProcesses sets the number of entry processes that select engines, and the
// jitter that follows from it.
func (s *Selector) SetProcesses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = n
	s.jitter = min(time.Duration(max(n-1, 0))*jitterPerProcess, maxJitter)
}

// SetMemoryTokens sets the KV memory of a service's engines. Known engines keep
// theirs.
func (s *Selector) SetMemoryTokens(service string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memoryTokens[service] = tokens
}

// EndpointChanged implements fleet.Listener. An endpoint that has restarted or
// moved to another service starts without any recorded load and health.
func (s *Selector) EndpointChanged(endpoint site.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous, ok := s.endpoints[endpoint.ID]
	if ok && (previous.StartedMS != endpoint.StartedMS || previous.Service != endpoint.Service || isEngine(previous) != isEngine(endpoint)) {
		s.drop(endpoint.ID)
	}
	s.endpoints[endpoint.ID] = endpoint
	if !isEngine(endpoint) {
		s.setPlain(endpoint)
		return
	}
	s.setEngine(endpoint)
}

// isEngine reports whether an endpoint is a model engine, not a plain one.
func isEngine(endpoint site.Endpoint) bool { return endpoint.Stage != "" }

func (s *Selector) setEngine(endpoint site.Endpoint) {
	stage := placement.Decode
	if endpoint.Stage == site.Prefill {
		stage = placement.Prefill
	}
	engine, ok := s.enginesByID[endpoint.ID]
	if !ok {
		memory := s.memoryTokens[endpoint.Service]
		if memory == 0 {
			memory = defaultMemoryTokens
		}
		engine = placement.NewEngine(endpoint.ID, endpoint.DataCentre, stage, endpoint.Slots, memory, s.bias(endpoint.Service))
		s.enginesByID[endpoint.ID] = engine
		s.enginesByService[endpoint.Service] = append(s.enginesByService[endpoint.Service], engine)
	}
	switch {
	case !s.MeasureEndpoints:
	case ok && engine.Stage != stage:
		s.forgetSpeed(engine, endpoint)
	case !ok && s.measures(endpoint.Service):
		s.measureEngine(engine, endpoint)
	}
	delete(s.fleets, endpoint.Service)
	engine.SetStage(stage)
	engine.Version = endpoint.SoftwareVersion
	engine.Draining = endpoint.Draining
	engine.Statement = s.statements.Of(processOf(endpoint))
}

func (s *Selector) bias(service string) *placement.Bias {
	if s.biases[service] == nil {
		s.biases[service] = &placement.Bias{}
	}
	return s.biases[service]
}

// EndpointGone implements fleet.Listener.
func (s *Selector) EndpointGone(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	delete(s.endpoints, id)
}

func (s *Selector) drop(id string) {
	service := s.endpoints[id].Service
	delete(s.enginesByID, id)
	delete(s.fleets, service)
	s.estimates.dropEndpoint(id)
	delete(s.differentEngines, id)
	s.enginesByService[service] = without(s.enginesByService[service], func(e *placement.Engine) bool { return e.ID == id })
	s.plainByService[service] = without(s.plainByService[service], func(p *plainEndpoint) bool { return p.endpoint.ID == id })
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

func (s *Selector) fleet(service string) *placement.Fleet {
	if s.fleets[service] == nil {
		s.fleets[service] = placement.NewFleet(s.dataCentre, s.enginesByService[service])
	}
	return s.fleets[service]
}

// Place decides which engines serve a prompt.
func (s *Selector) Place(service string, request placement.Request) Placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	request.LocalDataCentre = s.dataCentre
	request.Jitter, request.Random = s.jitter, rand.Float64
	unregistered := s.markUnregistered(service)
	blocked := s.Limits.Blocked()
	allowed := request
	allowed.Exclude = s.unavailable(request.Exclude, blocked, false)
	decision := s.fleet(service).Decide(s.now(), allowed)
	placed := Placement{Decision: decision, PassedOver: s.passedEngines(service, request, blocked)}
	placed.PassedOver.Unregistered = unregistered
	if placed.PassedOver.Count > 0 && decision.Verdict != placement.InTime {
		placed.PassedOver.Ask = s.engineToAsk(service, request, blocked, decision.Verdict)
	}
	if decision.Decode != nil {
		placed.DecodeEndpoint = s.endpoints[decision.Decode.ID]
	}
	if decision.Prefill != nil {
		placed.PrefillEndpoint = s.endpoints[decision.Prefill.ID]
	}
	if decision.Source != nil {
		placed.FetchAddress = s.endpoints[decision.Source.ID].Address
	}
	return placed
}

// ChooseDecode chooses the decode engine for a prompt after prefill on another
// engine.
func (s *Selector) ChooseDecode(service string, request placement.Request) (site.Endpoint, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	request.LocalDataCentre = s.dataCentre
	request.Jitter, request.Random = s.jitter, rand.Float64
	s.markUnregistered(service)
	request.Exclude = s.unavailable(request.Exclude, s.Limits.Blocked(), false)
	engine := s.fleet(service).ChooseDecode(s.now(), request)
	if engine == nil {
		return site.Endpoint{}, false
	}
	return s.endpoints[engine.ID], true
}

// Placement is a decision with the endpoints of the chosen engines.
type Placement struct {
	placement.Decision
	PassedOver      PassedOver
	PrefillEndpoint site.Endpoint
	DecodeEndpoint  site.Endpoint
	FetchAddress    string // Address of the engine to fetch cached parts of the prompt from, if any.
}

// StreamStarted records that an engine has sent the first token of a stream. The
// returned function records the end of the stream.
func (s *Selector) StreamStarted(id string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine, ok := s.enginesByID[id]
	if !ok {
		return func() {}
	}
	engine.StreamStarted()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		engine.StreamEnded()
	}
}

// Result is the outcome of a request as far as it concerns the endpoint's health.
type Result int

// The results.
const (
	RequestSucceeded Result = iota // It sent a complete response.
	RequestFailed                  // It failed a request that it had accepted.
	Unreachable                    // No connection could be opened.
	TooLarge                       // It sent a response beyond the size limits.
	Busy                           // It refused a request for lack of capacity.
)

// busyBackoff is how long an endpoint is the last choice after it refused a request.
const busyBackoff = 300 * time.Millisecond

// RecordResult updates the health of an endpoint. A busy endpoint is not counted as
// failed, but is the last choice for busyBackoff.
func (s *Selector) RecordResult(id string, result Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state(id)
	if state == nil {
		return
	}
	now := s.now()
	before := state.PassOver(now, false)
	switch result {
	case RequestSucceeded:
		state.Health.Succeeded(now)
	case RequestFailed:
		state.Health.Failed(now)
	case Unreachable, TooLarge:
		state.Health.Unreachable(now)
	case Busy:
		state.BackoffUntil = now.Add(busyBackoff)
	}
	if after := state.PassOver(now, false); after.Reason != before.Reason && after.Reason != availability.None {
		s.logPassedOver(id, now, after)
	}
}

// state returns the availability of an endpoint, or nil if it is not listed. s.mu must be
// held.
func (s *Selector) state(id string) *availability.State {
	if engine, ok := s.enginesByID[id]; ok {
		return &engine.State
	}
	for _, plain := range s.plainByService[s.endpoints[id].Service] {
		if plain.endpoint.ID == id {
			return &plain.State
		}
	}
	return nil
}

// servingStates returns the availability of the endpoints of a service that can serve a
// request alone, of engines those of a software version, or all if it is empty. s.mu must be held.
func (s *Selector) servingStates(service, version string) []*availability.State {
	var states []*availability.State
	for _, engine := range s.enginesByService[service] {
		if engine.Stage == placement.Decode && (version == "" || engine.Version == version) {
			states = append(states, &engine.State)
		}
	}
	for _, plain := range s.plainByService[service] {
		states = append(states, &plain.State)
	}
	return states
}
