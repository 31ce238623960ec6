// Package dev runs the production entry and agent code together with the
// stand-ins in one process, for local development and for tests.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/operator"
	entrywiring "flamingospar.org/entry/wiring"
	"flamingospar.org/platform/vms"
	"flamingospar.org/standin/fleet"
)

// Ports of the stand-ins, and the ports that the list of VMs gives for agents and
// entries that are started separately.
const (
	PlatformPort     = 9000
	EndpointBasePort = 9100
	AgentBasePort    = 9300
	PeerBasePort     = 9400
)

const (
	loopback          = "127.0.0.1"
	anyPort           = loopback + ":0"
	maxReadyPolls     = 200
	readyPollInterval = 50 * time.Millisecond
	standinsOnly      = "platform,endpoints"
	defaultEntries    = 3
)

// Options configure a dev system.
type Options struct {
	Fleet          string
	Listen         string
	OperatorListen string
	Only           string
	Entries        int // The first listens on the addresses above. 0: defaultEntries in Run, 1 in Start or with Only.
	Network        netx.Network
	EntryTLS       tlsfiles.Files // Not set: no TLS between processes.
	AgentTLS       tlsfiles.Files
	OperatorsFile  string        // Empty: no credential is required.
	UsageWindow    time.Duration // Zero: the entry's default.
}

// DefaultOptions returns the options of a plain `flamingospar dev`.
func DefaultOptions() Options {
	return Options{Fleet: "shedline", Listen: "127.0.0.1:8080", OperatorListen: "127.0.0.1:8081", Network: netx.TCP{}}
}

// Key is an API key issued by dev.
type Key struct {
	Team string
	Key  string
}

// System is a running dev system.
type System struct {
	Standins    *fleet.RunningFleet
	Keys        []Key
	URL         string // The first entry's.
	OperatorURL string // The first entry's.
	Entries     []RunningEntry

	processes sync.WaitGroup
}

// RunningEntry is one entry process of the system.
type RunningEntry struct {
	*entrywiring.Entry
	URL         string
	OperatorURL string
}

// Wait returns when all processes have stopped.
func (s *System) Wait() { s.processes.Wait() }

// Run starts a system, prints its addresses and keys, and serves until ctx ends.
func Run(ctx context.Context, options Options, stdout io.Writer) error {
	if options.Only != "" && options.Only != standinsOnly {
		return fmt.Errorf("--only %q is unknown; remedy: use --only %s", options.Only, standinsOnly)
	}
	if options.Only == "" && options.Entries == 0 {
		options.Entries = defaultEntries
	}
	system, err := Start(ctx, options)
	if err != nil {
		return err
	}
	if len(system.Entries) > 0 { // All processes share one log.
		logging.SetSink(system.Entries[0].Journal().Log)
	}
	system.printReady(stdout, options)
	<-ctx.Done()
	system.Wait()
	return nil
}

// Start starts a system and returns when it can serve.
func Start(ctx context.Context, options Options) (*System, error) {
	definition, err := fleet.ByName(options.Fleet)
	if err != nil {
		return nil, err
	}
	addresses := fleet.Addresses{Platform: anyPort, Endpoint: func(int) string { return anyPort }}
	if options.Only != "" {
		addresses = fixedAddresses()
	}
	standinContext, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	standins, err := fleet.Start(standinContext, options.Network, definition, addresses)
	if err != nil {
		stopStandins()
		return nil, err
	}
	system := &System{Standins: standins}
	if err := system.seed(ctx, definition); err != nil {
		stopStandins()
		return nil, err
	}
	if options.Only != "" {
		standins.Platform.SetVMs(fixedVMs(definition, max(options.Entries, 1)))
		context.AfterFunc(ctx, stopStandins)
		return system, nil
	}
	err = system.startProcesses(ctx, options, definition)
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

// fixedVMs lists the entries and one agent per endpoint, at fixed addresses.
func fixedVMs(definition fleet.Fleet, entries int) []vms.VM {
	var list []vms.VM
	for i := range entries {
		list = append(list, vms.VM{
			Instance:   fmt.Sprintf("entry-%d", i+1),
			Role:       vms.Entry,
			DataCentre: definition.DataCentres[i%len(definition.DataCentres)],
			Address:    hostPort(PeerBasePort + i),
		})
	}
	for i, endpoint := range definition.Endpoints {
		list = append(list, agentVM(endpoint, hostPort(AgentBasePort+i)))
	}
	return list
}

func agentVM(endpoint fleet.Endpoint, address string) vms.VM {
	return vms.VM{Instance: "agent-" + endpoint.ID, Role: vms.Agent, DataCentre: endpoint.DataCentre, Address: address}
}

// seed writes the fleet's catalogue and a key for each team.
func (s *System) seed(ctx context.Context, definition fleet.Fleet) error {
	document, err := catalogue.Parse(definition.Name+".toml", []byte(definition.Catalogue))
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

func (s *System) printReady(stdout io.Writer, options Options) {
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
