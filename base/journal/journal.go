// Package journal keeps the latest decisions of a process in a bounded in-memory
// event log, so that operators can query what was decided and why.
package journal

import (
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// DefaultCapacity is the default number of events that a journal keeps. It covers
// several minutes of a busy process.
const DefaultCapacity = 32768

// Fact is a name-value pair that describes an input or result of a decision.
type Fact struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Event is a decision or an outcome of one.
type Event struct {
	At       time.Time `json:"at"`
	Process  string    `json:"process"` // Instance that recorded the event.
	Part     string    `json:"part"`    // Part of the process, for example "entry/choose".
	Code     string    `json:"code,omitempty"`
	Sentence string    `json:"sentence"`
	Request  string    `json:"request,omitempty"`
	Team     string    `json:"team,omitempty"`
	Endpoint string    `json:"endpoint,omitempty"`
	Facts    []Fact    `json:"facts,omitempty"`
}

// Query selects events. Empty fields match all events.
type Query struct {
	Request  string
	Team     string
	Endpoint string
	Limit    int // Maximum number of events, of which the newest are returned; 0 means no limit.
}

// Journal is a ring buffer of events. It is safe for concurrent use.
type Journal struct {
	process  string
	capacity int

	mu     sync.Mutex
	events []Event
	next   int // Index of the oldest event once the buffer is full.
}

// New returns an empty journal for a process instance.
func New(process string, capacity int) *Journal {
	return &Journal{process: process, capacity: capacity}
}

// Record adds an event, overwriting the oldest one if the journal is full. It sets
// Process and, if it is zero, At. An event with a code is also logged.
func (j *Journal) Record(event Event) {
	if event.Code != "" {
		logEvent(event)
	}
	j.add(event, event.Code)
}

func (j *Journal) add(event Event, code string) {
	event.Process = j.process
	event.Code = code
	if event.At.IsZero() {
		event.At = time.Now()
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.events) < j.capacity {
		j.events = append(j.events, event)
		return
	}
	j.events[j.next] = event
	j.next = (j.next + 1) % j.capacity
}

// Find returns the matching events, oldest first.
func (j *Journal) Find(query Query) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Event
	for i := len(j.events) - 1; i >= 0; i-- {
		event := j.events[(j.next+i)%len(j.events)]
		if !query.matches(event) {
			continue
		}
		found = append(found, event)
		if query.Limit > 0 && len(found) >= query.Limit {
			break
		}
	}
	slices.Reverse(found)
	return found
}

func (q Query) matches(event Event) bool {
	return (q.Request == "" || q.Request == event.Request) &&
		(q.Team == "" || q.Team == event.Team) &&
		(q.Endpoint == "" || q.Endpoint == event.Endpoint)
}

func logEvent(event Event) {
	fields := []any{"code", event.Code}
	for _, field := range []Fact{{"request", event.Request}, {"team", event.Team}, {"endpoint", event.Endpoint}} {
		if field.Value != "" {
			fields = append(fields, field.Name, field.Value)
		}
	}
	for _, fact := range event.Facts {
		fields = append(fields, fact.Name, fact.Value)
	}
	klog.InfoSDepth(2, event.Part+": "+event.Sentence, fields...)
}
