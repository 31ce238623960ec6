// Package dev runs the real entry and agent code beside the stand-ins in one
// process, for a laptop and for tests.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	agentsettings "flamingospar.org/agent/settings"
	agentwiring "flamingospar.org/agent/wiring"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/operator"
	entrysettings "flamingospar.org/entry/settings"
	entrywiring "flamingospar.org/entry/wiring"
	"flamingospar.org/platform/vms"
	"flamingospar.org/standin/fleet"
)

// Ports of the stand-ins and, in the list of VMs, of the processes beside them.
const (
	PlatformPort     = 9000
	EndpointBasePort = 9100
	AgentBasePort    = 9300
	PeerBasePort     = 9400
)

const (
	loopback     = "127.0.0.1"
	anyPort      = loopback + ":0"
	readyPolls   = 200
	readyEvery   = 50 * time.Millisecond
	onlyStandins = "platform,endpoints"
	usualEntries = 3
)

// Options choose what runs.
type Options struct {
	Fleet          string
	Listen         string
	OperatorListen string
	Only           string
	Entries        int // The first one listens at the addresses above; 0: the usual number.
	Network        netx.Network
	EntryTLS       tlsfiles.Files // Not set: plain connections between processes.
	AgentTLS       tlsfiles.Files
	OperatorsFile  string        // Empty: no credential is asked for.
	UsageWindow    time.Duration // Zero: the entry's default.
}

// DefaultOptions returns the options of a plain `flamingospar dev`.
func DefaultOptions() Options {
	return Options{Fleet: "shedline", Listen: "127.0.0.1:8080", OperatorListen: "127.0.0.1:8081", Network: netx.TCP{}}
}

// Key is a key that dev issued.
type Key struct {
	Team string
	Key  string
}

// System is a running dev system.
type System struct {
	Standins    *fleet.Started
	Keys        []Key
	URL         string // The first entry's.
	OperatorURL string // The first entry's.
	Entries     []RunningEntry

	running sync.WaitGroup
}

// RunningEntry is one entry process of the system.
type RunningEntry struct {
	*entrywiring.Entry
	URL         string
	OperatorURL string
}

// Wait returns when all processes have stopped.
func (s *System) Wait() { s.running.Wait() }

// Run starts a system, prints how to use it and serves until ctx ends.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	if options.Only != "" && options.Only != onlyStandins {
		return fmt.Errorf("--only %q is unknown; remedy: use --only %s", options.Only, onlyStandins)
	}
	if options.Only == "" && options.Entries == 0 {
		options.Entries = usualEntries
	}
	system, err := Start(ctx, options)
	if err != nil {
		return err
	}
	if len(system.Entries) > 0 { // All processes share one log here.
		logging.SetSink(system.Entries[0].Journal().Log)
	}
	system.announce(stdout, options)
	<-ctx.Done()
	system.Wait()
	return nil
}

// Start starts a system and returns when it can serve.
func Start(ctx context.Context, options Options) (*System, error) {
	described, err := fleet.ByName(options.Fleet)
	if err != nil {
		return nil, err
	}
	addresses := fleet.Addresses{Platform: anyPort, Endpoint: func(int) string { return anyPort }}
	if options.Only != "" {
		addresses = fixedAddresses()
	}
	standinContext, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	started, err := fleet.Start(standinContext, options.Network, described, addresses)
	if err != nil {
		stopStandins()
		return nil, err
	}
	system := &System{Standins: started}
	if err := system.seed(ctx, described); err != nil {
		stopStandins()
		return nil, err
	}
	if options.Only != "" {
		started.Platform.SetVMs(plannedVMs(described, max(options.Entries, 1)))
		context.AfterFunc(ctx, stopStandins)
		return system, nil
	}
	err = system.startProcesses(ctx, options, described)
	go func() {
		<-ctx.Done()
		system.Wait()
		stopStandins()
	}()
	return system, err
}

func fixedAddresses() fleet.Addresses {
	return fleet.Addresses{
		Platform: hostPort(PlatformPort),
		Endpoint: func(i int) string { return hostPort(EndpointBasePort + i) },
	}
}

func hostPort(port int) string { return net.JoinHostPort(loopback, strconv.Itoa(port)) }

// plannedVMs lists an agent for each endpoint, and entries, at planned addresses.
func plannedVMs(described fleet.Fleet, entries int) []vms.VM {
	var list []vms.VM
	for i := range entries {
		list = append(list, vms.VM{
			Instance:   fmt.Sprintf("entry-%d", i+1),
			Role:       vms.Entry,
			DataCentre: described.DataCentres[i%len(described.DataCentres)],
			Address:    hostPort(PeerBasePort + i),
		})
	}
	for i, endpoint := range described.Endpoints {
		list = append(list, agentVM(endpoint, hostPort(AgentBasePort+i)))
	}
	return list
}

func agentVM(endpoint fleet.Endpoint, address string) vms.VM {
	return vms.VM{Instance: "agent-" + endpoint.ID, Role: vms.Agent, DataCentre: endpoint.DataCentre, Address: address}
}

// seed writes the fleet's catalogue and a key for each team.
func (s *System) seed(ctx context.Context, described fleet.Fleet) error {
	document, err := catalogue.Parse(described.Name+".toml", []byte(described.Catalogue))
	if err != nil {
		return err
	}
	view := configview.New(s.Standins.Platform.Tables, configview.Options{})
	if _, err := view.Write(ctx, 0, config.Change{Operator: "dev", Catalogue: document}); err != nil {
		return err
	}
	for i, team := range document.Teams {
		key := Key{Team: team.Name, Key: operator.NewKey()}
		issued := config.Key{ID: fmt.Sprintf("key-dev-%d", i+1), Team: key.Team, Hash: config.HashKey(key.Key)}
		if _, err := view.Write(ctx, 0, config.Change{Operator: "dev", IssueKey: &issued}); err != nil {
			return err
		}
		s.Keys = append(s.Keys, key)
	}
	return nil
}

func (s *System) startProcesses(ctx context.Context, options Options, described fleet.Fleet) error {
	// Agents outlive the entry's drain, since it still runs requests on them.
	agentContext, stopAgents := context.WithCancel(context.WithoutCancel(ctx))
	var list []vms.VM
	for _, endpoint := range s.Standins.Endpoints {
		address, err := s.startAgent(agentContext, options, endpoint)
		if err != nil {
			stopAgents()
			return err
		}
		list = append(list, agentVM(endpoint.Endpoint, address))
	}
	entries, err := s.buildEntries(options, described)
	if err != nil {
		stopAgents()
		return err
	}
	for _, entry := range entries {
		list = append(list, entryVM(entry))
	}
	s.Standins.Platform.SetVMs(list)
	s.serveEntries(ctx, entries, stopAgents)
	for _, entry := range s.Entries {
		if err := awaitReady(ctx, entry.Entry, len(s.Standins.Endpoints)); err != nil {
			return err
		}
	}
	return nil
}

// serveEntries runs the entries until ctx ends and stops the agents after the last.
func (s *System) serveEntries(ctx context.Context, entries []builtEntry, stopAgents func()) {
	var serving sync.WaitGroup
	for _, entry := range entries {
		serving.Add(1)
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer serving.Done()
			_ = entry.Serve(ctx, entry.listeners)
		}()
	}
	go func() {
		serving.Wait()
		stopAgents()
	}()
}

func (s *System) startAgent(ctx context.Context, options Options, endpoint fleet.StartedEndpoint) (string, error) {
	settings := agentsettings.Defaults()
	settings.DataCentre = endpoint.DataCentre
	settings.Listen = anyPort
	settings.Endpoint = endpoint.ID
	settings.EndpointURL = endpoint.URL
	settings.EndpointKind = endpoint.Kind
	settings.PlatformURL = s.Standins.PlatformURL
	settings.TLS = options.AgentTLS
	checked, err := settings.Checked()
	if err != nil {
		return "", err
	}
	agent, err := agentwiring.Build(checked, options.Network)
	if err != nil {
		return "", err
	}
	listener, err := agent.Listen()
	if err != nil {
		return "", err
	}
	s.running.Add(1)
	go func() {
		defer s.running.Done()
		_ = agent.Serve(ctx, listener)
	}()
	return listener.Addr().String(), nil
}

// builtEntry is an entry that listens and does not serve yet.
type builtEntry struct {
	*entrywiring.Entry
	listeners entrywiring.Listeners
}

func entryVM(entry builtEntry) vms.VM {
	return vms.VM{
		Instance:   entry.Settings.Instance,
		Role:       vms.Entry,
		DataCentre: entry.Settings.DataCentre,
		Address:    entry.listeners.Peers.Addr().String(),
	}
}

func (s *System) buildEntries(options Options, described fleet.Fleet) ([]builtEntry, error) {
	var entries []builtEntry
	for i := range max(options.Entries, 1) {
		settings := s.entrySettings(options)
		settings.Authority.PeerListen = anyPort
		settings.DataCentre = described.DataCentres[i%len(described.DataCentres)]
		settings.Authority.CapacityDataCentres = described.DataCentres
		if i > 0 {
			settings.Listen = anyPort
			settings.OperatorListen = anyPort
		}
		peers, err := freeAddress(options.Network)
		if err != nil {
			return nil, err
		}
		settings.Authority.PeerListen = peers
		entry, err := buildEntry(settings, options.Network)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
		s.Entries = append(s.Entries, RunningEntry{
			Entry:       entry.Entry,
			URL:         "http://" + entry.listeners.Callers.Addr().String(),
			OperatorURL: "http://" + entry.listeners.Operators.Addr().String(),
		})
	}
	s.URL = s.Entries[0].URL
	s.OperatorURL = s.Entries[0].OperatorURL
	return entries, nil
}

// freeAddress returns an address that nobody listens at now: an entry's address
// for other entries must be known before it listens.
func freeAddress(network netx.Network) (string, error) {
	listener, err := network.Listen(anyPort)
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (s *System) entrySettings(options Options) entrysettings.Settings {
	settings := entrysettings.Defaults()
	settings.Listen = options.Listen
	settings.OperatorListen = options.OperatorListen
	settings.PlatformURL = s.Standins.PlatformURL
	settings.Operators = entrysettings.Operators{File: options.OperatorsFile, Open: options.OperatorsFile == ""}
	settings.TLS = options.EntryTLS
	if options.UsageWindow > 0 {
		settings.UsageWindow = catalogue.Duration(options.UsageWindow)
		settings.UsageFlush = catalogue.Duration(options.UsageWindow / 4)
		settings.UsageGrace = catalogue.Duration(options.UsageWindow / 2)
	}
	return settings
}

func buildEntry(settings entrysettings.Settings, network netx.Network) (builtEntry, error) {
	checked, err := settings.Checked()
	if err != nil {
		return builtEntry{}, err
	}
	entry, err := entrywiring.Build(checked, network)
	if err != nil {
		return builtEntry{}, err
	}
	listeners, err := entry.Listen()
	return builtEntry{Entry: entry, listeners: listeners}, err
}

// awaitReady waits until the entry serves and knows all agents.
func awaitReady(ctx context.Context, entry *entrywiring.Entry, agents int) error {
	for range readyPolls {
		if entry.Ready() && readyCount(entry) == agents {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyEvery):
		}
	}
	return fmt.Errorf("the entry knows %d of %d agents; remedy: see its log", readyCount(entry), agents)
}

func readyCount(entry *entrywiring.Entry) int {
	ready := 0
	for _, candidate := range entry.Fleet.Candidates() {
		if candidate.Ready {
			ready++
		}
	}
	return ready
}

func (s *System) announce(stdout io.Writer, options Options) {
	if options.Only != "" {
		fmt.Fprintf(stdout, "ready platform=%s\n", s.Standins.PlatformURL)
	} else {
		fmt.Fprintf(stdout, "ready url=%s operator=%s\n", s.URL, s.OperatorURL)
	}
	for _, key := range s.Keys {
		fmt.Fprintf(stdout, "team=%s key=%s\n", key.Team, key.Key)
	}
	if options.Only != "" {
		return
	}
	model := ""
	for _, endpoint := range s.Standins.Endpoints {
		if endpoint.Model != "" {
			model = endpoint.Model
			break
		}
	}
	fmt.Fprintf(stdout, "curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"max_tokens\":8,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n", s.URL, s.Keys[0].Key, model)
}
