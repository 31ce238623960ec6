package observe

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"flamingospar.org/core/route"
	"flamingospar.org/entry/fleet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Status is the state of the system as this entry can see it.
type Status struct {
	At          time.Time          `json:"at"`
	AskedEntry  string             `json:"asked_entry"`
	Entries     []EntryStatus      `json:"entries"`
	DataCentres []DataCentreStatus `json:"data_centres"`
	Endpoints   []EndpointStatus   `json:"endpoints"`
	Spending    Spending           `json:"spending"`
	Teams       []TeamStatus       `json:"teams"`
	Revisions   []RevisionCount    `json:"revisions"`
	Counters    []Counter          `json:"counters"` // Refusals, retries and failures, over all entries.
	Problems    []Problem          `json:"problems"`
}

// EntryStatus is one entry.
type EntryStatus struct {
	Instance   string        `json:"instance"`
	DataCentre string        `json:"data_centre"`
	Ready      bool          `json:"ready"`
	Revision   int64         `json:"revision"`
	HeapBytes  int64         `json:"heap_bytes"`
	Leases     []LeaseStatus `json:"leases"`
}

// LeaseStatus is a lease as an entry sees it.
type LeaseStatus struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Held  bool   `json:"held"`
}

// DataCentreStatus adds up one kind of endpoint in one data centre.
type DataCentreStatus struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Model       string `json:"model,omitempty"`
	Role        string `json:"role,omitempty"`
	Ready       int    `json:"ready"`
	Endpoints   int    `json:"endpoints"`
	Outstanding int    `json:"outstanding"` // Sent by this entry.
	Queued      int    `json:"queued"`
}

// EndpointStatus is one endpoint.
type EndpointStatus struct {
	ID          string `json:"id"`
	DataCentre  string `json:"data_centre"`
	Kind        string `json:"kind"`
	Model       string `json:"model,omitempty"`
	Role        string `json:"role,omitempty"`
	Ready       bool   `json:"ready"`
	Leaving     bool   `json:"leaving"`
	Outstanding int    `json:"outstanding"`
	Queued      int    `json:"queued"`
}

// TeamStatus compares a team's service with its share by weight.
type TeamStatus struct {
	Team         string  `json:"team"`
	Requests     int64   `json:"requests"`
	PromptTokens int64   `json:"prompt_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	Served       float64 `json:"served"` // Part of all tokens.
	Share        float64 `json:"share"`  // Part of all weights.
}

// Spending compares the endpoints that are paid for with the service they gave.
type Spending struct {
	Endpoints int `json:"endpoints"`
	Idle      int `json:"idle"` // Ready, with nothing outstanding or queued.
	NotReady  int `json:"not_ready"`
	// TokensPerEngineMinute is over the windows that entries remember.
	TokensPerEngineMinute float64 `json:"tokens_per_engine_minute"`
}

// RevisionCount is how many entries hold a revision.
type RevisionCount struct {
	Revision int64 `json:"revision"`
	Entries  int   `json:"entries"`
}

// Counter is one counter's value.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Problem is something wrong and what is done about it.
type Problem struct {
	What string `json:"what"`
	Done string `json:"done"`
}

// Status gathers the state of all entries and of the agents known here.
func (s *Server) Status(ctx context.Context) Status {
	status := Status{At: time.Now().UTC(), AskedEntry: s.Identity.Instance}
	var peers []asked
	for _, peer := range s.Peers() {
		peers = append(peers, asked{name: peer.Address, client: peer.Client})
	}
	replies, silent := reports(ctx, peers)
	replies["self"] = s.report()
	status.addEntries(replies)
	for _, address := range silent {
		status.problem("entry "+address+" does not answer", "callers are served by the others; its leases pass on after their terms")
	}
	status.addAgents(s.Fleet.Observed())
	status.addTeams(replies, s.weights())
	status.addSpending(replies, s.Identity.Window)
	status.addCounters(replies)
	return status
}

func (st *Status) problem(what, done string) {
	st.Problems = append(st.Problems, Problem{What: what, Done: done})
}

func (st *Status) addEntries(replies map[string]*wirev1.ReportReply) {
	revisions := make(map[int64]int)
	for _, reply := range replies {
		entry := EntryStatus{
			Instance:   reply.Instance,
			DataCentre: reply.DataCentre,
			Ready:      reply.Ready,
			Revision:   reply.Revision,
			HeapBytes:  reply.HeapBytes,
		}
		for _, lease := range reply.Leases {
			entry.Leases = append(entry.Leases, LeaseStatus{Name: lease.Name, Epoch: lease.Epoch, Held: lease.Held})
		}
		st.Entries = append(st.Entries, entry)
		revisions[reply.Revision]++
		if !reply.Ready {
			st.problem("entry "+reply.Instance+" serves no callers", "it drains, or waits for proof that its configuration is current")
		}
	}
	sort.Slice(st.Entries, func(i, j int) bool { return st.Entries[i].Instance < st.Entries[j].Instance })
	for revision, n := range revisions {
		st.Revisions = append(st.Revisions, RevisionCount{Revision: revision, Entries: n})
	}
	sort.Slice(st.Revisions, func(i, j int) bool { return st.Revisions[i].Revision > st.Revisions[j].Revision })
	st.checkLeases()
}

// checkLeases finds leases that no answering entry holds.
func (st *Status) checkLeases() {
	held := make(map[string]bool)
	for _, entry := range st.Entries {
		for _, lease := range entry.Leases {
			held[lease.Name] = held[lease.Name] || lease.Held
		}
	}
	for name, ok := range held {
		if !ok {
			st.problem("nobody seen from here holds the lease "+name, "an entry takes it once its term and margin are over and the store answers")
		}
	}
}

// roleOf returns an engine's role; one that was never changed is mixed.
func roleOf(agent fleet.Observed) string {
	if agent.Kind == modelKind && agent.Role == "" {
		return string(route.Mixed)
	}
	return string(agent.Role)
}

func (st *Status) addAgents(agents []fleet.Observed) {
	type groupKey struct{ dataCentre, kind, model, role string }
	groups := make(map[groupKey]*DataCentreStatus)
	for _, agent := range agents {
		st.Endpoints = append(st.Endpoints, EndpointStatus{
			ID:          agent.Endpoint,
			DataCentre:  agent.DataCentre,
			Kind:        agent.Kind,
			Model:       agent.Model,
			Role:        roleOf(agent),
			Ready:       agent.Ready,
			Leaving:     agent.Leaving,
			Outstanding: agent.Outstanding,
			Queued:      agent.Queued,
		})
		key := groupKey{agent.DataCentre, agent.Kind, agent.Model, roleOf(agent)}
		if groups[key] == nil {
			groups[key] = &DataCentreStatus{Name: agent.DataCentre, Kind: agent.Kind, Model: agent.Model, Role: roleOf(agent)}
		}
		group := groups[key]
		group.Endpoints++
		group.Outstanding += agent.Outstanding
		group.Queued += agent.Queued
		if agent.Ready {
			group.Ready++
		}
	}
	for _, group := range groups {
		st.DataCentres = append(st.DataCentres, *group)
		if group.Ready == 0 && group.Kind != fleet.KindUnknown {
			st.problem(fmt.Sprintf("%s has no ready endpoint of %s %s", group.Name, group.Kind, group.Model), "requests go to other data centres")
		}
	}
	sort.Slice(st.Endpoints, func(i, j int) bool { return st.Endpoints[i].ID < st.Endpoints[j].ID })
	st.checkEndpoints()
	sort.Slice(st.DataCentres, func(i, j int) bool {
		a, b := st.DataCentres[i], st.DataCentres[j]
		return a.Name+a.Kind+a.Model+a.Role < b.Name+b.Kind+b.Model+b.Role
	})
}

// namedEndpoints bounds how many endpoints a problem names.
const namedEndpoints = 8

// checkEndpoints finds endpoints that should serve and do not.
func (st *Status) checkEndpoints() {
	var names []string
	for _, endpoint := range st.Endpoints {
		if !endpoint.Ready && !endpoint.Leaving {
			names = append(names, endpoint.ID)
		}
	}
	if len(names) == 0 {
		return
	}
	listed := strings.Join(names[:min(len(names), namedEndpoints)], ", ")
	if len(names) > namedEndpoints {
		listed += ", and others"
	}
	st.problem(fmt.Sprintf("%d endpoints are not ready: %s", len(names), listed), "they get no work until their agents answer that they are ready")
}

func (s *Server) weights() map[string]float64 {
	weights := make(map[string]float64)
	state := s.Config.Current()
	if state == nil {
		return weights
	}
	for _, team := range state.Catalogue.Teams {
		weights[team.Name] = team.Weight
	}
	return weights
}

func (st *Status) addTeams(replies map[string]*wirev1.ReportReply, weights map[string]float64) {
	teams := make(map[string]*TeamStatus)
	var tokens int64
	var weight float64
	for name, share := range weights {
		teams[name] = &TeamStatus{Team: name, Share: share}
		weight += share
	}
	for _, reply := range replies {
		for _, count := range reply.Usage {
			team := teams[count.Team]
			if team == nil {
				team = &TeamStatus{Team: count.Team}
				teams[count.Team] = team
			}
			team.Requests += count.Figures.GetRequests()
			team.PromptTokens += count.Figures.GetPromptTokens()
			team.OutputTokens += count.Figures.GetOutputTokens()
			tokens += count.Figures.GetPromptTokens() + count.Figures.GetOutputTokens()
		}
	}
	for _, team := range teams {
		if tokens > 0 {
			team.Served = float64(team.PromptTokens+team.OutputTokens) / float64(tokens)
		}
		if weight > 0 {
			team.Share /= weight
		}
		st.Teams = append(st.Teams, *team)
	}
	sort.Slice(st.Teams, func(i, j int) bool { return st.Teams[i].Team < st.Teams[j].Team })
}

// reportedCounters are the beginnings of the counters that operators see.
var reportedCounters = []string{"refused.", "retried.", "usage.", "invariant."}

func (st *Status) addCounters(replies map[string]*wirev1.ReportReply) {
	sums := make(map[string]int64)
	for _, reply := range replies {
		for _, counter := range reply.Counters {
			if isReported(counter.Name) {
				sums[counter.Name] += counter.Value
			}
		}
	}
	for name, value := range sums {
		st.Counters = append(st.Counters, Counter{Name: name, Value: value})
		if strings.HasPrefix(name, "invariant.") && value > 0 {
			st.problem(fmt.Sprintf("%s was violated %d times", name, value), "nothing; tell the maintainers and keep the logs")
		}
	}
	sort.Slice(st.Counters, func(i, j int) bool { return st.Counters[i].Name < st.Counters[j].Name })
}

func isReported(name string) bool {
	for _, prefix := range reportedCounters {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
