// Package plain is a small stand-in of an application service that counts each
// call it executed.
package plain

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"time"
)

// PathBodies answers with the counts of Bodies, for tests in other processes.
const PathBodies = "/-/bodies"

// maxBody bounds a call's body.
const maxBody = 8 << 20

// Service counts executed calls by run id.
type Service struct {
	name string

	mu    sync.Mutex
	calls map[string]int
	// bodies counts the calls executed by body, or by URI when that is empty.
	bodies map[string]int
	total  int
	faults Faults
}

// Faults are the failures in force at a service.
type Faults struct {
	Delay time.Duration // Between taking effect and answering.
	// Crash is called before the answer to a body that contains Poison.
	Poison string
	Crash  func()
}

// SetFaults puts faults in force from now on.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// New returns a service with no calls.
func New(name string) *Service {
	return &Service{name: name, calls: make(map[string]int), bodies: make(map[string]int)}
}

// answer echoes what the service got, so that tests can check what was passed.
type answer struct {
	Service string      `json:"service"`
	Number  int         `json:"number"`
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body"`
}

// ServeHTTP implements http.Handler: it executes the call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathBodies {
		_ = json.NewEncoder(w).Encode(s.Bodies())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.total++
	number := s.total
	s.calls[r.Header.Get("X-Run-Id")]++
	s.bodies[contentOf(r, body)]++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Poison != "" && strings.Contains(string(body), faults.Poison) {
		faults.Crash()
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer{Service: s.name, Number: number, Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body})
}

func contentOf(r *http.Request, body []byte) string {
	if len(body) == 0 {
		return r.URL.RequestURI()
	}
	return string(body)
}

// Bodies returns how often a call with each body, or with each URI when the
// body is empty, was executed.
func (s *Service) Bodies() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.bodies)
}

// Calls returns how often each run id was executed.
func (s *Service) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for id, times := range s.calls {
		calls[id] = times
	}
	return calls
}
