package authority

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	agentsettings "flamingospar.org/agent/settings"
	agentwiring "flamingospar.org/agent/wiring"
	"flamingospar.org/base/netx"
	entrysettings "flamingospar.org/entry/settings"
	entrywiring "flamingospar.org/entry/wiring"
	"flamingospar.org/platform/vms"
	"flamingospar.org/standin/platform"
)

const loopback = "127.0.0.1:0"

// fleet is entries and agents in one process, each with a network of its own
// that counts its bytes.
type fleet struct {
	size     size
	platform *platform.Platform
	address  string
	entries  []*entrywiring.Entry
	agents   []*agentwiring.Agent
	entryNet []*countingNetwork
	agentNet []*countingNetwork
	keys     int
	lastKey  string
	stop     func()
}

func startFleet(ctx context.Context, s size) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	f := &fleet{size: s, platform: platform.New()}
	f.stop = func() {
		f.platform.SetFaults(platform.Faults{})
		cancel()
		running.Wait()
	}
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	server := netx.Server(f.platform.Handler())
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { time.AfterFunc(10*time.Second, func() { _ = server.Close() }) })
	var list []vms.VM
	for i := range s.agents {
		vm, err := f.startAgent(ctx, i, &running)
		if err != nil {
			return nil, err
		}
		list = append(list, vm)
	}
	for i := range s.entries {
		vm, err := f.startEntry(ctx, i, &running)
		if err != nil {
			return nil, err
		}
		list = append(list, vm)
	}
	f.platform.SetVMs(list)
	return f, nil
}

func (f *fleet) startAgent(ctx context.Context, i int, running *sync.WaitGroup) (vms.VM, error) {
	name := fmt.Sprintf("service-%d", i)
	checked, err := agentsettings.Settings{
		DataCentre: "a", Listen: loopback, Endpoint: name, EndpointURL: "http://" + f.address, EndpointKind: "measured",
		PlatformURL: "http://" + f.address, Running: 1, Waiting: 1,
	}.Checked()
	if err != nil {
		return vms.VM{}, err
	}
	network := &countingNetwork{platform: f.address}
	agent, err := agentwiring.Build(checked, network)
	if err != nil {
		return vms.VM{}, err
	}
	listener, err := agent.Listen()
	if err != nil {
		return vms.VM{}, err
	}
	f.agents = append(f.agents, agent)
	f.agentNet = append(f.agentNet, network)
	running.Add(1)
	go func() {
		defer running.Done()
		_ = agent.Serve(ctx, listener)
	}()
	return vms.VM{Instance: "agent-" + name, Role: vms.Agent, DataCentre: "a", Address: listener.Addr().String()}, nil
}

func (f *fleet) startEntry(ctx context.Context, i int, running *sync.WaitGroup) (vms.VM, error) {
	settings := entrysettings.Defaults()
	settings.DataCentre = "a"
	settings.Listen, settings.OperatorListen, settings.Authority.PeerListen = loopback, loopback, loopback
	settings.PlatformURL = "http://" + f.address
	checked, err := settings.Checked()
	if err != nil {
		return vms.VM{}, err
	}
	network := &countingNetwork{platform: f.address}
	entry, err := entrywiring.Build(checked, network)
	if err != nil {
		return vms.VM{}, err
	}
	listeners, err := entry.Listen()
	if err != nil {
		return vms.VM{}, err
	}
	f.entries = append(f.entries, entry)
	f.entryNet = append(f.entryNet, network)
	running.Add(1)
	go func() {
		defer running.Done()
		_ = entry.Serve(ctx, listeners)
	}()
	return vms.VM{Instance: checked.Instance, Role: vms.Entry, DataCentre: "a", Address: listeners.Peers.Addr().String()}, nil
}

// totals are bytes and operations since the start, over all processes.
type totals struct {
	entry, platform, agent, reads, writes float64
}

func (t totals) minus(other totals) totals {
	return totals{t.entry - other.entry, t.platform - other.platform, t.agent - other.agent, t.reads - other.reads, t.writes - other.writes}
}

func (f *fleet) totals() totals {
	var all totals
	for _, network := range f.entryNet {
		all.entry += float64(network.bytes.Load())
		all.platform += float64(network.toPlatform.Load())
	}
	for _, network := range f.agentNet {
		all.agent += float64(network.bytes.Load())
	}
	reads, writes := f.platform.Tables.Operations()
	all.reads, all.writes = float64(reads), float64(writes)
	return all
}

// processTime returns the processor time that this process has used.
func processTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingNetwork counts the bytes of one process, both ways.
type countingNetwork struct {
	platform   string
	bytes      atomic.Int64
	toPlatform atomic.Int64
}

// Listen implements netx.Network.
func (n *countingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := netx.TCP{}.Listen(address)
	return countingListener{Listener: listener, network: n}, err
}

// DialContext implements netx.Network.
func (n *countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := netx.TCP{}.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, network: n, platform: address == n.platform}, nil
}

type countingListener struct {
	net.Listener
	network *countingNetwork
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, network: l.network}, nil
}

type countingConn struct {
	net.Conn
	network  *countingNetwork
	platform bool
}

func (c countingConn) count(n int) {
	c.network.bytes.Add(int64(n))
	if c.platform {
		c.network.toPlatform.Add(int64(n))
	}
}

// Read implements net.Conn.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count(n)
	return n, err
}
