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
	askTimeout    = 2 * time.Second
	askAtOnce     = 32
	defaultEvents = 200
)

// Explanation is the answer to a question about decisions.
type Explanation struct {
	Events []journal.Event `json:"events"`
	// Silent are the processes that did not answer.
	Silent []string `json:"silent,omitempty"`
}

type asked struct {
	name   string
	client wirev1connect.ObserveServiceClient
}

// Explain gathers the events of a query from all entries and from the agents
// that the entries' events or the query name.
func (s *Server) Explain(ctx context.Context, query journal.Query) Explanation {
	if query.Limit <= 0 {
		query.Limit = defaultEvents
	}
	answer := Explanation{Events: s.Journal.Find(query)}
	var entries []asked
	for _, peer := range s.Peers() {
		entries = append(entries, asked{name: peer.Address, client: peer.Client})
	}
	s.find(ctx, entries, query, &answer)
	s.find(ctx, s.agentsOf(query, answer.Events), query, &answer)
	sort.SliceStable(answer.Events, func(i, j int) bool { return answer.Events[i].At.Before(answer.Events[j].At) })
	if len(answer.Events) > query.Limit {
		answer.Events = answer.Events[len(answer.Events)-query.Limit:]
	}
	return answer
}

// agentsOf returns the agents that a query's events name.
func (s *Server) agentsOf(query journal.Query, events []journal.Event) []asked {
	endpoints := map[string]bool{query.Endpoint: true}
	for _, event := range events {
		endpoints[event.Endpoint] = true
	}
	delete(endpoints, "")
	var agents []asked
	for _, agent := range s.Fleet.Observed() {
		if endpoints[agent.Endpoint] {
			agents = append(agents, asked{name: agent.Address, client: agent.Client})
		}
	}
	return agents
}

func (s *Server) find(ctx context.Context, processes []asked, query journal.Query, answer *Explanation) {
	request := &wirev1.FindRequest{
		Request:  query.Request,
		Team:     query.Team,
		Endpoint: query.Endpoint,
		Limit:    int32(query.Limit),
	}
	var mu sync.Mutex
	each(processes, func(process asked) {
		callContext, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		reply, err := process.client.Find(callContext, connect.NewRequest(request))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			answer.Silent = append(answer.Silent, process.name)
			return
		}
		for _, event := range reply.Msg.Events {
			answer.Events = append(answer.Events, journalwire.Decode(event))
		}
	})
}

// reports asks processes for their state; silent ones are named.
func reports(ctx context.Context, processes []asked) (replies map[string]*wirev1.ReportReply, silent []string) {
	replies = make(map[string]*wirev1.ReportReply, len(processes))
	var mu sync.Mutex
	each(processes, func(process asked) {
		callContext, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		reply, err := process.client.Report(callContext, connect.NewRequest(new(wirev1.ReportRequest)))
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			silent = append(silent, process.name)
			return
		}
		replies[process.name] = reply.Msg
	})
	sort.Strings(silent)
	return replies, silent
}

func each(processes []asked, ask func(asked)) {
	slots := make(chan struct{}, askAtOnce)
	var asking sync.WaitGroup
	for _, process := range processes {
		slots <- struct{}{}
		asking.Add(1)
		go func() {
			defer asking.Done()
			defer func() { <-slots }()
			ask(process)
		}()
	}
	asking.Wait()
}
