package dev

import (
	"context"
	"fmt"
	"sync"
	"time"

	agentsettings "flamingospar.org/agent/settings"
	agentwiring "flamingospar.org/agent/wiring"
	"flamingospar.org/base/netx"
	"flamingospar.org/core/catalogue"
	entrysettings "flamingospar.org/entry/settings"
	entrywiring "flamingospar.org/entry/wiring"
	"flamingospar.org/platform/vms"
	"flamingospar.org/standin/fleet"
)

func (s *System) startProcesses(ctx context.Context, options Options, definition fleet.Fleet) error {
	// Agents must outlive the entries' drain, during which requests still run on them.
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
	entries, err := s.buildEntries(options, definition)
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
		if err := waitReady(ctx, entry.Entry, len(s.Standins.Endpoints)); err != nil {
			return err
		}
	}
	return nil
}

// serveEntries runs the entries until ctx ends and stops the agents once the last
// entry has stopped.
func (s *System) serveEntries(ctx context.Context, entries []listeningEntry, stopAgents func()) {
	var serving sync.WaitGroup
	for _, entry := range entries {
		serving.Add(1)
		s.processes.Add(1)
		go func() {
			defer s.processes.Done()
			defer serving.Done()
			_ = entry.Serve(ctx, entry.listeners)
		}()
	}
	go func() {
		serving.Wait()
		stopAgents()
	}()
}

func (s *System) startAgent(ctx context.Context, options Options, endpoint fleet.RunningEndpoint) (string, error) {
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
	s.processes.Add(1)
	go func() {
		defer s.processes.Done()
		_ = agent.Serve(ctx, listener)
	}()
	return listener.Addr().String(), nil
}

// listeningEntry is an entry that listens but doesn't serve yet.
type listeningEntry struct {
	*entrywiring.Entry
	listeners entrywiring.Listeners
}

func entryVM(entry listeningEntry) vms.VM {
	return vms.VM{
		Instance:   entry.Settings.Instance,
		Role:       vms.Entry,
		DataCentre: entry.Settings.DataCentre,
		Address:    entry.listeners.Peers.Addr().String(),
	}
}

func (s *System) buildEntries(options Options, definition fleet.Fleet) ([]listeningEntry, error) {
	var entries []listeningEntry
	for i := range max(options.Entries, 1) {
		settings := s.entrySettings(options)
		settings.Authority.PeerListen = anyPort
		settings.DataCentre = definition.DataCentres[i%len(definition.DataCentres)]
		settings.Authority.CapacityDataCentres = definition.DataCentres
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

// freeAddress returns a currently unused address. An entry's peer address must be
// known before the entry listens on it.
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

func buildEntry(settings entrysettings.Settings, network netx.Network) (listeningEntry, error) {
	checked, err := settings.Checked()
	if err != nil {
		return listeningEntry{}, err
	}
	entry, err := entrywiring.Build(checked, network)
	if err != nil {
		return listeningEntry{}, err
	}
	listeners, err := entry.Listen()
	return listeningEntry{Entry: entry, listeners: listeners}, err
}

// waitReady waits until the entry is ready and sees all agents as ready.
func waitReady(ctx context.Context, entry *entrywiring.Entry, agents int) error {
	for range maxReadyPolls {
		if entry.Ready() && readyCount(entry) == agents {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return fmt.Errorf("entry not ready in time, %d of %d agents ready; remedy: see its log", readyCount(entry), agents)
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
