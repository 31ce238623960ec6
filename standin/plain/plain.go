// Package plain simulates an application service that counts the calls it
// executes.
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

// PathBodies is the path that serves BodyCounts to tests in other processes.
const PathBodies = "/-/bodies"

// maxBodyBytes is the length to which a call's body is truncated.
const maxBodyBytes = 8 << 20

// Service echoes each call and counts calls by run ID and by content.
type Service struct {
	name string

	mu           sync.Mutex
	callsByRunID map[string]int
	// callsByContent is keyed by the body, or by the URI if the body is empty.
	callsByContent map[string]int
	callCount      int
	faults         Faults
}

// Faults are the faults injected into a service.
type Faults struct {
	Delay time.Duration // Between the effect of a call and its response.
	// Crash is called instead of responding to a body that contains Poison.
	Poison string
	Crash  func()
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// New returns a service that has executed no calls.
func New(name string) *Service {
	return &Service{name: name, callsByRunID: make(map[string]int), callsByContent: make(map[string]int)}
}

// echoResponse contains the request as the service received it, so that tests can
// check what was forwarded.
type echoResponse struct {
	Service string      `json:"service"`
	Number  int         `json:"number"`
	Method  string      `json:"method"`
	Path    string      `json:"path"`
	Header  http.Header `json:"header"`
	Body    []byte      `json:"body"`
}

// ServeHTTP executes the call and responds with an echo of it.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathBodies {
		_ = json.NewEncoder(w).Encode(s.BodyCounts())
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	s.mu.Lock()
	s.callCount++
	number := s.callCount
	s.callsByRunID[r.Header.Get("X-Run-Id")]++
	s.callsByContent[callContent(r, body)]++
	faults := s.faults
	s.mu.Unlock()
	time.Sleep(faults.Delay)
	if faults.Poison != "" && strings.Contains(string(body), faults.Poison) {
		faults.Crash()
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(echoResponse{Service: s.name, Number: number, Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body})
}

// callContent returns the key of a call in callsByContent.
func callContent(r *http.Request, body []byte) string {
	if len(body) == 0 {
		return r.URL.RequestURI()
	}
	return string(body)
}

// BodyCounts returns the number of executed calls by body, or by URI if the body
// is empty.
func (s *Service) BodyCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callsByContent)
}

// CallCounts returns the number of executed calls by run ID.
func (s *Service) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.callsByRunID))
	for id, count := range s.callsByRunID {
		counts[id] = count
	}
	return counts
}
