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

// Status is the state of the system as observed by one entry.
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

// EntryStatus is the state that an entry reports.
type EntryStatus struct {
	Instance   string        `json:"instance"`
	DataCentre string        `json:"data_centre"`
	Ready      bool          `json:"ready"`
	Revision   int64         `json:"revision"`
	HeapBytes  int64         `json:"heap_bytes"`
	Leases     []LeaseStatus `json:"leases"`
}

// LeaseStatus is a lease as reported by an entry. Held is set if that entry
// holds it.
type LeaseStatus struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Held  bool   `json:"held"`
}

// DataCentreStatus sums up the endpoints of one data centre that have the same
// kind, model and role.
type DataCentreStatus struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Model       string `json:"model,omitempty"`
	Role        string `json:"role,omitempty"`
	Ready       int    `json:"ready"`
	Endpoints   int    `json:"endpoints"`
	Outstanding int    `json:"outstanding"` // Requests sent by this entry.
	Queued      int    `json:"queued"`
}

// EndpointStatus is the state of an endpoint as known to this entry.
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

// TeamStatus compares the tokens served to a team with its share by weight.
type TeamStatus struct {
	Team         string  `json:"team"`
	Requests     int64   `json:"requests"`
	PromptTokens int64   `json:"prompt_tokens"`
	OutputTokens int64   `json:"output_tokens"`
	Served       float64 `json:"served"` // Fraction of the tokens of all teams.
	Share        float64 `json:"share"`  // Fraction of the weights of all teams.
}

// Spending compares the endpoints that are paid for with the tokens they served.
type Spending struct {
	Endpoints int `json:"endpoints"`
	Idle      int `json:"idle"` // Ready, with nothing outstanding or queued.
	NotReady  int `json:"not_ready"`
	// TokensPerEngineMinute is an average over the windows that entries retain.
	TokensPerEngineMinute float64 `json:"tokens_per_engine_minute"`
}

// RevisionCount is the number of entries that have a revision.
type RevisionCount struct {
	Revision int64 `json:"revision"`
	Entries  int   `json:"entries"`
}

// Counter is the sum of a counter over all entries.
type Counter struct {
	Name  string `json:"name"`
	Value int64  `json:"value"`
}

// Problem describes a fault and what is done about it.
type Problem struct {
	What string `json:"what"`
	Done string `json:"done"`
}

// Status collects the state of all entries and of the agents that this entry
// knows.
func (s *Server) Status(ctx context.Context) Status {
	status := Status{At: time.Now().UTC(), AskedEntry: s.Identity.Instance}
	var peers []target
	for _, peer := range s.Peers() {
		peers = append(peers, target{name: peer.Address, client: peer.Client})
	}
	replies, unreachable := fetchReports(ctx, peers)
	replies["self"] = s.report()
	status.addEntries(replies)
	for _, address := range unreachable {
		status.addProblem("entry "+address+" does not answer", "the other entries serve callers; another entry takes over its leases after their terms")
	}
	status.addAgents(s.Fleet.Observed())
	status.addTeams(replies, s.weights())
	status.addSpending(replies, s.Identity.Window)
	status.addCounters(replies)
	return status
}

func (st *Status) addProblem(what, done string) {
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
			st.addProblem("entry "+reply.Instance+" serves no callers", "it drains, or has not confirmed that its configuration is current")
		}
	}
	sort.Slice(st.Entries, func(i, j int) bool { return st.Entries[i].Instance < st.Entries[j].Instance })
	for revision, n := range revisions {
		st.Revisions = append(st.Revisions, RevisionCount{Revision: revision, Entries: n})
	}
	sort.Slice(st.Revisions, func(i, j int) bool { return st.Revisions[i].Revision > st.Revisions[j].Revision })
	st.checkLeases()
}

// checkLeases adds a problem for each lease that none of the entries holds.
func (st *Status) checkLeases() {
	held := make(map[string]bool)
	for _, entry := range st.Entries {
		for _, lease := range entry.Leases {
			held[lease.Name] = held[lease.Name] || lease.Held
		}
	}
	for name, ok := range held {
		if !ok {
			st.addProblem("no entry that responds holds the lease "+name, "an entry acquires it after its term and the safety margin, as soon as the store responds")
		}
	}
}

// roleName returns the role of an endpoint. A model endpoint without a role is
// mixed.
func roleName(agent fleet.Observed) string {
	if agent.Kind == kindModel && agent.Role == "" {
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
			Role:        roleName(agent),
			Ready:       agent.Ready,
			Leaving:     agent.Leaving,
			Outstanding: agent.Outstanding,
			Queued:      agent.Queued,
		})
		key := groupKey{agent.DataCentre, agent.Kind, agent.Model, roleName(agent)}
		if groups[key] == nil {
			groups[key] = &DataCentreStatus{Name: agent.DataCentre, Kind: agent.Kind, Model: agent.Model, Role: roleName(agent)}
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
			st.addProblem(fmt.Sprintf("%s has no ready endpoint of %s %s", group.Name, group.Kind, group.Model), "requests go to other data centres")
		}
	}
	sort.Slice(st.Endpoints, func(i, j int) bool { return st.Endpoints[i].ID < st.Endpoints[j].ID })
	st.checkEndpoints()
	sort.Slice(st.DataCentres, func(i, j int) bool {
		a, b := st.DataCentres[i], st.DataCentres[j]
		return a.Name+a.Kind+a.Model+a.Role < b.Name+b.Kind+b.Model+b.Role
	})
}

// maxNamedEndpoints is the maximum number of endpoints that a problem names.
const maxNamedEndpoints = 8

// checkEndpoints adds a problem for endpoints that are neither ready nor
// leaving.
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
	listed := strings.Join(names[:min(len(names), maxNamedEndpoints)], ", ")
	if len(names) > maxNamedEndpoints {
		listed += ", and others"
	}
	st.addProblem(fmt.Sprintf("%d endpoints are not ready: %s", len(names), listed), "they get no work until their agents report that they are ready")
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
	var totalTokens int64
	var totalWeight float64
	for name, weight := range weights {
		teams[name] = &TeamStatus{Team: name, Share: weight}
		totalWeight += weight
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
			totalTokens += count.Figures.GetPromptTokens() + count.Figures.GetOutputTokens()
		}
	}
	for _, team := range teams {
		if totalTokens > 0 {
			team.Served = float64(team.PromptTokens+team.OutputTokens) / float64(totalTokens)
		}
		if totalWeight > 0 {
			team.Share /= totalWeight
		}
		st.Teams = append(st.Teams, *team)
	}
	sort.Slice(st.Teams, func(i, j int) bool { return st.Teams[i].Team < st.Teams[j].Team })
}

// reportedCounterPrefixes are the prefixes of the counters that the status shows.
var reportedCounterPrefixes = []string{"refused.", "retried.", "usage.", "invariant."}

func (st *Status) addCounters(replies map[string]*wirev1.ReportReply) {
	totals := make(map[string]int64)
	for _, reply := range replies {
		for _, counter := range reply.Counters {
			if isReported(counter.Name) {
				totals[counter.Name] += counter.Value
			}
		}
	}
	for name, value := range totals {
		st.Counters = append(st.Counters, Counter{Name: name, Value: value})
		if strings.HasPrefix(name, "invariant.") && value > 0 {
			st.addProblem(fmt.Sprintf("%s was violated %d times", name, value), "no automatic action; keep the logs and inform the maintainers")
		}
	}
	sort.Slice(st.Counters, func(i, j int) bool { return st.Counters[i].Name < st.Counters[j].Name })
}

func isReported(name string) bool {
	for _, prefix := range reportedCounterPrefixes {
		if strings.HasPrefix(name, prefix) {
			return true
		}
	}
	return false
}
