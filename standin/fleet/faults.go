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

// defaultDowntime is the downtime after a crash if the request sets none.
const defaultDowntime = 2 * time.Second

// callsPath is the path at which an application service serves its call counts.
const callsPath = "/calls"

// endpointFaults is the JSON form of an endpoint's faults. Delay is added to each
// step of an engine or to each call of a service.
type endpointFaults struct {
	Poison       string             `json:"poison"` // Crashes the endpoint if a request contains it.
	Delay        catalogue.Duration `json:"slow"`
	StallStreams bool               `json:"mute"`    // Engines only: send nothing more on open streams.
	Variant      string             `json:"variant"` // Engines only: change the output.
	Crash        bool               `json:"crash"`   // Crash once, at once.
	Downtime     catalogue.Duration `json:"down_for"`
}

// faultController stores an endpoint's faults and applies them.
type faultController struct {
	apply func(faults endpointFaults, crash func())

	mu      sync.Mutex
	current endpointFaults
	server  *restartableServer // Set once the endpoint listens.
}

func (c *faultController) get() endpointFaults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *faultController) set(faults endpointFaults) {
	crashRequested := faults.Crash
	faults.Crash = false
	downtime := time.Duration(faults.Downtime)
	if downtime <= 0 {
		downtime = defaultDowntime
	}
	c.mu.Lock()
	c.current = faults
	server := c.server
	c.mu.Unlock()
	// The crash closes the connection of the request that causes it, so it runs in
	// its own goroutine.
	crash := func() { go server.crash(downtime) }
	c.apply(faults, crash)
	if crashRequested {
		crash()
	}
}

// handler serves the faults API in front of the endpoint's own handler.
func (c *faultController) handler(endpoint http.Handler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(faultsapi.Path, faultsapi.Handler(c.get, c.set))
	mux.Handle("/", endpoint)
	return mux
}

// engineFaultSetter returns a function that applies faults to e.
func engineFaultSetter(e *engine.Engine) func(endpointFaults, func()) {
	return func(faults endpointFaults, crash func()) {
		e.SetFaults(engine.Faults{Poison: faults.Poison, Crash: crash, StepDelay: time.Duration(faults.Delay), StallStreams: faults.StallStreams, Variant: faults.Variant})
	}
}

// serviceFaultSetter returns a function that applies faults to s.
func serviceFaultSetter(s *plain.Service) func(endpointFaults, func()) {
	return func(faults endpointFaults, crash func()) {
		s.SetFaults(plain.Faults{Delay: time.Duration(faults.Delay), Poison: faults.Poison, Crash: crash})
	}
}

// serveCallCounts serves the number of executed calls by run ID.
func serveCallCounts(s *plain.Service) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.CallCounts())
	}
}
