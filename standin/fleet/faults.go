package fleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/standin/engine"
	"flamingospar.org/standin/faultsapi"
	"flamingospar.org/standin/plain"
)

// defaultDownFor is how long a crashed endpoint stays away.
const defaultDownFor = 2 * time.Second

// callsPath is where a plain service tells the calls that it executed.
const callsPath = "/calls"

// endpointFaults is the JSON form of an endpoint's faults. Slow is added to
// each step of an engine or to each call of a service.
type endpointFaults struct {
	Poison  string             `json:"poison"` // Crashes whatever runs it.
	Slow    catalogue.Duration `json:"slow"`
	Mute    bool               `json:"mute"`    // Engines: no more on open answers.
	Variant string             `json:"variant"` // Engines: other answers.
	Crash   bool               `json:"crash"`   // Once, now.
	DownFor catalogue.Duration `json:"down_for"`
}

// switchboard holds an endpoint's faults and puts them in force.
type switchboard struct {
	apply func(faults endpointFaults, crash func())

	mu      sync.Mutex
	current endpointFaults
	server  *crashable // Set when the endpoint listens.
}

func (s *switchboard) get() endpointFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *switchboard) set(faults endpointFaults) {
	crashNow := faults.Crash
	faults.Crash = false
	downFor := time.Duration(faults.DownFor)
	if downFor <= 0 {
		downFor = defaultDownFor
	}
	s.mu.Lock()
	s.current = faults
	server := s.server
	s.mu.Unlock()
	// A crash closes the connection that asked for it, so it runs on its own.
	crash := func() { go server.crash(downFor) }
	s.apply(faults, crash)
	if crashNow {
		crash()
	}
}

// handler offers the faults before an endpoint's own interface.
func (s *switchboard) handler(endpoint http.Handler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(faultsapi.Path, faultsapi.Handler(s.get, s.set))
	mux.Handle("/", endpoint)
	return mux
}

func engineFaults(e *engine.Engine) func(endpointFaults, func()) {
	return func(faults endpointFaults, crash func()) {
		e.SetFaults(engine.Faults{Poison: faults.Poison, Crash: crash, Slow: time.Duration(faults.Slow), Mute: faults.Mute, Variant: faults.Variant})
	}
}

func serviceFaults(s *plain.Service) func(endpointFaults, func()) {
	return func(faults endpointFaults, crash func()) {
		s.SetFaults(plain.Faults{Delay: time.Duration(faults.Slow), Poison: faults.Poison, Crash: crash})
	}
}

// showCalls tells how often each run id was executed.
func showCalls(s *plain.Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Calls())
	}
}
