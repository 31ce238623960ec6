package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	agentaccount "flamingospar.org/agent/account"
	agentwiring "flamingospar.org/agent/wiring"
	"flamingospar.org/base/journal"
	"flamingospar.org/base/netx"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/core/route"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/fleet"
	entrysettings "flamingospar.org/entry/settings"
	entrywiring "flamingospar.org/entry/wiring"
	"flamingospar.org/platform/vms"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	sampleTeams         = 22_000
	sampleRecords       = 20_000
	sampleAgents        = 463
	batchRecords        = 230
	batchAgents         = 60
	batchTeams          = 60
	fleetRefreshTimeout = 5 * time.Second
)

// stateMeasurements returns the measurements of the state that processes keep and
// of changes to it.
func stateMeasurements() []measurement {
	return []measurement{
		{"config_key_heap", Bytes, "a live key, at an entry", func() (float64, error) {
			return heapPerItem(sampleTeams, func(n int) any { return stateWithKeys(n) }), nil
		}},
		{"config_team_heap", Bytes, "a team of the catalogue, at an entry", func() (float64, error) {
			return heapPerItem(sampleTeams, func(n int) any { return newTeams(n) }), nil
		}},
		{"config_key_change", Bytes, "a change of a key, as stored and passed on", keyChangeBytes},
		{"config_key_apply", Microseconds, "a change of a key among 22,000, at each entry", keyChangeTime},
		{"catalogue_change", Bytes, "a team in a change of the whole catalogue", catalogueTeamBytes},
		{"route_choice", Microseconds, "a choice among the 463 endpoints of a data centre", routeChoiceTime},
		{"entry_base_heap", Bytes, "an entry process before any state", entryBaseHeap},
		{"fleet_agent_heap", Bytes, "an agent in the list, at an entry", fleetAgentHeap},
		{"agent_base_heap", Bytes, "an agent process before any state", agentBaseHeap},
		{"journal_event_heap", Bytes, "an event of a full journal", func() (float64, error) {
			return heapPerItem(sampleRecords, func(n int) any { return fullJournal(n) }), nil
		}},
		{"held_record_heap", Bytes, "a record that an agent holds", func() (float64, error) {
			return heapPerItem(sampleRecords, func(n int) any { return ledgerWithRecords(n) }), nil
		}},
		{"agent_record", Microseconds, "a run's record at the agent, made and acknowledged", agentRecordTime},
		{"vm_list_row", Bytes, "a VM in the platform's list, at each read", vmRowBytes},
		{"vm_list_cpu", Microseconds, "a VM in the platform's list, decoded", vmDecodeTime},
	}
}

func stateWithKeys(n int) *config.State {
	state := config.Empty()
	for i := range n {
		next, err := state.Apply(keyChange(state.Revision+1, i))
		if err != nil {
			panic(err)
		}
		state = next
	}
	return state
}

func keyChange(revision config.Revision, i int) config.Change {
	key := config.Key{ID: fmt.Sprintf("key-%08d-0000-0000-0000-000000000000", i), Team: fmt.Sprintf("team-%05d", i), Hash: config.HashKey(fmt.Sprint(i))}
	return config.Change{ID: fmt.Sprintf("change-%032d", i), Revision: revision, Operator: "operator", UnixMillis: 1, IssueKey: &key}
}

func keyChangeBytes() (float64, error) {
	data, err := json.Marshal(keyChange(1, 1))
	return float64(len(data)), err
}

func keyChangeTime() (float64, error) {
	state := stateWithKeys(sampleTeams)
	change := keyChange(state.Revision+1, sampleTeams)
	var lastErr error
	micros := cpuPerCall(func() {
		if _, err := state.Apply(change); err != nil {
			lastErr = err
		}
	})
	return micros, lastErr
}

func newTeams(n int) []catalogue.Team {
	list := make([]catalogue.Team, n)
	for i := range list {
		limits := catalogue.Limits{RequestsPerSecond: 10, TokensPerSecond: 1000, Concurrent: 10}
		list[i] = catalogue.Team{Name: fmt.Sprintf("team-%05d", i), Weight: 1, Limits: &limits}
	}
	return list
}

func catalogueTeamBytes() (float64, error) {
	data, err := json.Marshal(catalogue.Document{Teams: newTeams(sampleTeams)})
	return float64(len(data)) / sampleTeams, err
}

func routeChoiceTime() (float64, error) {
	candidates := make(route.Candidates, sampleAgents)
	for i := range candidates {
		candidates[i] = route.Candidate{
			Endpoint:   fmt.Sprintf("engine-%04d", i),
			DataCentre: "a",
			Kind:       "model",
			Model:      "m",
			Ready:      true,
			Hash:       uint64(i) << 54,
		}
	}
	seed := uint64(0)
	return cpuPerCall(func() {
		seed++
		request := route.Request{Kind: "model", Model: "m", DataCentre: "a", PromptTokens: 500, Prefix: seed, PrefixTokens: 100, Seed: seed}
		route.ChooseFrom(request, candidates)
	}), nil
}

func fullJournal(n int) *journal.Journal {
	j := journal.New("entry", n)
	for i := range n {
		id := fmt.Sprintf("req-%036d", i)
		j.Record(journal.Event{
			Part:     "entry/pipeline",
			Sentence: "The request ended: ran.",
			Request:  id,
			Team:     "team-00001",
			Facts: []journal.Fact{
				{Name: "route", Value: "/v1/chat/completions"},
				{Name: "model", Value: "m"},
				{Name: "attempts", Value: "1"},
				{Name: "filters", Value: fmt.Sprint([]string{"accept", "authenticate", "receive", "match", "admit", "relay"})},
				{Name: "millis", Value: fmt.Sprint(i)},
			},
		})
	}
	return j
}

func ledgerWithRecords(n int) *agentaccount.Ledger {
	ledger := agentaccount.NewLedger("agent", agentaccount.ModelKind)
	for i := range n {
		ledger.Count(fmt.Sprintf("team-%05d", i%50), usage.Figures{Requests: 1, PromptTokens: 100}, time.Minute, time.Unix(0, 0))
	}
	return ledger
}

func sampleVMs() []vms.VM {
	list := make([]vms.VM, sampleAgents)
	for i := range list {
		list[i] = vms.VM{
			Instance:   fmt.Sprintf("%08d-0000-0000-0000-000000000000", i),
			Role:       vms.Agent,
			DataCentre: "data-centre-1",
			Address:    "10.0.100.100:9300",
		}
	}
	return list
}

func vmRowBytes() (float64, error) {
	data, err := json.Marshal(sampleVMs())
	return float64(len(data)) / sampleAgents, err
}

func vmDecodeTime() (float64, error) {
	data, err := json.Marshal(sampleVMs())
	if err != nil {
		return 0, err
	}
	var lastErr error
	micros := cpuPerCall(func() {
		var list []vms.VM
		if err := json.Unmarshal(data, &list); err != nil {
			lastErr = err
		}
	})
	return micros / sampleAgents, lastErr
}

func entryBaseHeap() (float64, error) {
	var buildErr error
	bytes := heapPerItem(1, func(int) any {
		settings := entrysettings.Defaults()
		settings.DataCentre = "a"
		settings.Listen = "127.0.0.1:0"
		settings.OperatorListen = "127.0.0.1:0"
		settings.PlatformURL = "http://127.0.0.1:1"
		settings.Operators.Open = true
		checked, err := settings.Checked()
		if err != nil {
			buildErr = err
			return nil
		}
		entry, err := entrywiring.Build(checked, netx.TCP{})
		buildErr = err
		return entry
	})
	return bytes, buildErr
}

// staticList is a list of VMs that does not change.
type staticList []vms.VM

func (l staticList) VMs(context.Context) ([]vms.VM, error) { return l, nil }

// fleetAgentHeap measures a fleet view of agents that do not respond.
func fleetAgentHeap() (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetRefreshTimeout)
	defer cancel()
	return heapPerItem(sampleAgents, func(n int) any {
		list := make(staticList, n)
		for i := range list {
			list[i] = vms.VM{Instance: fmt.Sprintf("%036d", i), Role: vms.Agent, DataCentre: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}
		}
		view := fleet.New(list, netx.HTTP2Client(netx.TCP{}), fleet.Membership{})
		view.Refresh(ctx)
		return view
	}), nil
}

func agentBaseHeap() (float64, error) {
	var buildErr error
	bytes := heapPerItem(1, func(int) any {
		settings, err := agentSettings("127.0.0.1:1", "127.0.0.1:1")
		if err != nil {
			buildErr = err
			return nil
		}
		agent, err := agentwiring.Build(settings, netx.TCP{})
		buildErr = err
		return agent
	})
	return bytes, buildErr
}

func agentRecordTime() (float64, error) {
	ledger := agentaccount.NewLedger("agent", agentaccount.ModelKind)
	return cpuPerCall(func() {
		record := ledger.Count("team", usage.Figures{Requests: 1, PromptTokens: 100}, time.Minute, time.Unix(0, 0))
		ledger.Acknowledge(&wirev1.UsageDurable{Source: record.Source, Sequences: []int64{record.Sequence}})
	}), nil
}
