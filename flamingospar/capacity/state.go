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
	sampleTeams   = 22_000
	sampleRecords = 20_000
	sampleAgents  = 463
	batchRecords  = 230
	batchAgents   = 60
	batchTeams    = 60
	fleetLook     = 5 * time.Second
)

// stateMeasurements are of what a process keeps and how fast it changes.
func stateMeasurements() []measurement {
	return []measurement{
		{"config_key_heap", Bytes, "a live key, at an entry", func() (float64, error) {
			return heapOf(sampleTeams, func(n int) any { return stateWithKeys(n) }), nil
		}},
		{"config_team_heap", Bytes, "a team of the catalogue, at an entry", func() (float64, error) {
			return heapOf(sampleTeams, func(n int) any { return teams(n) }), nil
		}},
		{"config_key_change", Bytes, "a change of a key, as stored and passed on", keyChangeBytes},
		{"config_key_apply", Microseconds, "a change of a key among 22,000, at each entry", keyChangeTime},
		{"catalogue_change", Bytes, "a team in a change of the whole catalogue", catalogueBytes},
		{"route_choice", Microseconds, "a choice among the 463 endpoints of a data centre", choiceTime},
		{"entry_base_heap", Bytes, "an entry process before any state", entryBase},
		{"fleet_agent_heap", Bytes, "an agent in the list, at an entry", fleetHeap},
		{"agent_base_heap", Bytes, "an agent process before any state", agentBase},
		{"journal_event_heap", Bytes, "an event of a full journal", func() (float64, error) {
			return heapOf(sampleRecords, func(n int) any { return fullJournal(n) }), nil
		}},
		{"held_record_heap", Bytes, "a record that an agent holds", func() (float64, error) {
			return heapOf(sampleRecords, func(n int) any { return ledgerWith(n) }), nil
		}},
		{"agent_record", Microseconds, "a run's record at the agent, made and acknowledged", agentRecordTime},
		{"vm_list_row", Bytes, "a VM in the platform's list, at each read", vmBytes},
		{"vm_list_cpu", Microseconds, "a VM in the platform's list, decoded", vmTime},
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
	var failed error
	micros := cpuOf(func() {
		if _, err := state.Apply(change); err != nil {
			failed = err
		}
	})
	return micros, failed
}

func teams(n int) []catalogue.Team {
	list := make([]catalogue.Team, n)
	for i := range list {
		limits := catalogue.Limits{RequestsPerSecond: 10, TokensPerSecond: 1000, Concurrent: 10}
		list[i] = catalogue.Team{Name: fmt.Sprintf("team-%05d", i), Weight: 1, Limits: &limits}
	}
	return list
}

func catalogueBytes() (float64, error) {
	data, err := json.Marshal(catalogue.Document{Teams: teams(sampleTeams)})
	return float64(len(data)) / sampleTeams, err
}

func choiceTime() (float64, error) {
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
	return cpuOf(func() {
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

func ledgerWith(n int) *agentaccount.Ledger {
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

func vmBytes() (float64, error) {
	data, err := json.Marshal(sampleVMs())
	return float64(len(data)) / sampleAgents, err
}

func vmTime() (float64, error) {
	data, err := json.Marshal(sampleVMs())
	if err != nil {
		return 0, err
	}
	var failed error
	micros := cpuOf(func() {
		var list []vms.VM
		if err := json.Unmarshal(data, &list); err != nil {
			failed = err
		}
	})
	return micros / sampleAgents, failed
}

func entryBase() (float64, error) {
	var failed error
	bytes := heapOf(1, func(int) any {
		settings := entrysettings.Defaults()
		settings.DataCentre = "a"
		settings.Listen = "127.0.0.1:0"
		settings.OperatorListen = "127.0.0.1:0"
		settings.PlatformURL = "http://127.0.0.1:1"
		settings.Operators.Open = true
		checked, err := settings.Checked()
		if err != nil {
			failed = err
			return nil
		}
		entry, err := entrywiring.Build(checked, netx.TCP{})
		failed = err
		return entry
	})
	return bytes, failed
}

// fixedList is a list of VMs that never changes.
type fixedList []vms.VM

// VMs implements vms.List.
func (l fixedList) VMs(context.Context) ([]vms.VM, error) { return l, nil }

// fleetHeap builds a view of agents that answer nobody.
func fleetHeap() (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fleetLook)
	defer cancel()
	return heapOf(sampleAgents, func(n int) any {
		list := make(fixedList, n)
		for i := range list {
			list[i] = vms.VM{Instance: fmt.Sprintf("%036d", i), Role: vms.Agent, DataCentre: "a", Address: fmt.Sprintf("127.0.0.1:%d", i+1)}
		}
		view := fleet.New(list, netx.HTTP2Client(netx.TCP{}), fleet.Membership{})
		view.Refresh(ctx)
		return view
	}), nil
}

func agentBase() (float64, error) {
	var failed error
	bytes := heapOf(1, func(int) any {
		settings, err := agentSettings("127.0.0.1:1", "127.0.0.1:1")
		if err != nil {
			failed = err
			return nil
		}
		agent, err := agentwiring.Build(settings, netx.TCP{})
		failed = err
		return agent
	})
	return bytes, failed
}

func agentRecordTime() (float64, error) {
	ledger := agentaccount.NewLedger("agent", agentaccount.ModelKind)
	return cpuOf(func() {
		record := ledger.Count("team", usage.Figures{Requests: 1, PromptTokens: 100}, time.Minute, time.Unix(0, 0))
		ledger.Acknowledge(&wirev1.UsageDurable{Source: record.Source, Sequences: []int64{record.Sequence}})
	}), nil
}
