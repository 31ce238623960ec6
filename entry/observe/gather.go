package observe

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/journal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
	"flamingospar.org/wire/journalwire"
)

const (
	callTimeout        = 2 * time.Second
	maxConcurrentCalls = 32
	defaultEventLimit  = 200
)

// Explanation contains the events that explain decisions, in order of time.
type Explanation struct {
	Events []journal.Event `json:"events"`
	// Unreachable lists the processes that did not respond.
	Unreachable []string `json:"silent,omitempty"`
}

// target is the observe service of another process.
type target struct {
	name   string
	client wirev1connect.ObserveServiceClient
}

// Explain collects the events that match query from all entries and from the
// agents of the endpoints that the query or the entries' events name. Beyond the
// limit of the query it drops the oldest events.
func (s *Server) Explain(ctx context.Context, query journal.Query) Explanation {
	if query.Limit <= 0 {
		query.Limit = defaultEventLimit
	}
	explanation := Explanation{Events: s.Journal.Find(query)}
	var entries []target
	for _, peer := range s.Peers() {
		entries = append(entries, target{name: peer.Address, client: peer.Client})
	}
	s.findRemote(ctx, entries, query, &explanation)
	s.findRemote(ctx, s.agentTargets(query, explanation.Events), query, &explanation)
	sort.SliceStable(explanation.Events, func(i, j int) bool { return explanation.Events[i].At.Before(explanation.Events[j].At) })
	if len(explanation.Events) > query.Limit {
		explanation.Events = explanation.Events[len(explanation.Events)-query.Limit:]
	}
	return explanation
}

// agentTargets returns the agents of the endpoints that query or events name.
func (s *Server) agentTargets(query journal.Query, events []journal.Event) []target {
	wanted := map[string]bool{query.Endpoint: true}
	for _, event := range events {
		wanted[event.Endpoint] = true
	}
	delete(wanted, "")
	var agents []target
	for _, agent := range s.Fleet.Observed() {
		if wanted[agent.Endpoint] {
			agents = append(agents, target{name: agent.Address, client: agent.Client})
		}
	}
	return agents
}

// findRemote adds the events that targets return for query to explanation.
func (s *Server) findRemote(ctx context.Context, targets []target, query journal.Query, explanation *Explanation) {
	request := &wirev1.FindRequest{
		Request:  query.Request,
		Team:     query.Team,
		Endpoint: query.Endpoint,
		Limit:    int32(query.Limit),
	}
	var mu sync.Mutex
	forEach(targets, func(process target) {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := process.client.Find(callContext, connect.NewRequest(request))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			explanation.Unreachable = append(explanation.Unreachable, process.name)
			return
		}
		for _, event := range reply.Msg.Events {
			explanation.Events = append(explanation.Events, journalwire.Decode(event))
		}
	})
}

// fetchReports returns the reports of targets by name, and the names of the
// targets that did not respond.
func fetchReports(ctx context.Context, targets []target) (replies map[string]*wirev1.ReportReply, unreachable []string) {
	replies = make(map[string]*wirev1.ReportReply, len(targets))
	var mu sync.Mutex
	forEach(targets, func(process target) {
		callContext, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := process.client.Report(callContext, connect.NewRequest(new(wirev1.ReportRequest)))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			unreachable = append(unreachable, process.name)
			return
		}
		replies[process.name] = reply.Msg
	})
	sort.Strings(unreachable)
	return replies, unreachable
}

// forEach calls call for all targets, at most maxConcurrentCalls at a time.
func forEach(targets []target, call func(target)) {
	semaphore := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for _, t := range targets {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			call(t)
		}()
	}
	wg.Wait()
}
