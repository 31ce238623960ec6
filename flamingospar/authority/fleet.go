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

const loopbackAddress = "127.0.0.1:0"

// fleet runs entries and agents in one process. Each has its own network, which
// counts its bytes.
type fleet struct {
	size            fleetSize
	platform        *platform.Platform
	platformAddress string
	entries         []*entrywiring.Entry
	agents          []*agentwiring.Agent
	entryNetworks   []*countingNetwork
	agentNetworks   []*countingNetwork
	keyCount        int
	lastKey         string
	stop            func()
}

func startFleet(ctx context.Context, s fleetSize) (*fleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	f := &fleet{size: s, platform: platform.New()}
	f.stop = func() {
		f.platform.SetFaults(platform.Faults{})
		cancel()
		wg.Wait()
	}
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, err
	}
	f.platformAddress = listener.Addr().String()
	server := netx.Server(f.platform.Handler())
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { time.AfterFunc(10*time.Second, func() { _ = server.Close() }) })
	var list []vms.VM
	for i := range s.agents {
		vm, err := f.startAgent(ctx, i, &wg)
		if err != nil {
			return nil, err
		}
		list = append(list, vm)
	}
	for i := range s.entries {
		vm, err := f.startEntry(ctx, i, &wg)
		if err != nil {
			return nil, err
		}
		list = append(list, vm)
	}
	f.platform.SetVMs(list)
	return f, nil
}

func (f *fleet) startAgent(ctx context.Context, i int, wg *sync.WaitGroup) (vms.VM, error) {
	name := fmt.Sprintf("service-%d", i)
	checked, err := agentsettings.Settings{
		DataCentre: "a", Listen: loopbackAddress, Endpoint: name, EndpointURL: "http://" + f.platformAddress, EndpointKind: "measured",
		PlatformURL: "http://" + f.platformAddress, Running: 1, Waiting: 1,
	}.Checked()
	if err != nil {
		return vms.VM{}, err
	}
	network := &countingNetwork{platformAddress: f.platformAddress}
	agent, err := agentwiring.Build(checked, network)
	if err != nil {
		return vms.VM{}, err
	}
	listener, err := agent.Listen()
	if err != nil {
		return vms.VM{}, err
	}
	f.agents = append(f.agents, agent)
	f.agentNetworks = append(f.agentNetworks, network)
	wg.Add(1)
	go func() {
		defer wg.Done()
		_ = agent.Serve(ctx, listener)
	}()
	return vms.VM{Instance: "agent-" + name, Role: vms.Agent, DataCentre: "a", Address: listener.Addr().String()}, nil
}

func (f *fleet) startEntry(ctx context.Context, i int, wg *sync.WaitGroup) (vms.VM, error) {
	settings := entrysettings.Defaults()
	settings.DataCentre = "a"
	settings.Listen, settings.OperatorListen, settings.Authority.PeerListen = loopbackAddress, loopbackAddress, loopbackAddress
	settings.Operators.Open = true
	settings.PlatformURL = "http://" + f.platformAddress
	checked, err := settings.Checked()
	if err != nil {
		return vms.VM{}, err
	}
	network := &countingNetwork{platformAddress: f.platformAddress}
	entry, err := entrywiring.Build(checked, network)
	if err != nil {
		return vms.VM{}, err
	}
	listeners, err := entry.Listen()
	if err != nil {
		return vms.VM{}, err
	}
	f.entries = append(f.entries, entry)
	f.entryNetworks = append(f.entryNetworks, network)
	wg.Add(1)
	go func() {
		defer wg.Done()
		_ = entry.Serve(ctx, listeners)
	}()
	return vms.VM{Instance: checked.Instance, Role: vms.Entry, DataCentre: "a", Address: listeners.Peers.Addr().String()}, nil
}

// totals holds the bytes and store operations of all processes since the start.
type totals struct {
	entryBytes, platformBytes, agentBytes, reads, writes float64
}

func (t totals) minus(other totals) totals {
	return totals{t.entryBytes - other.entryBytes, t.platformBytes - other.platformBytes, t.agentBytes - other.agentBytes, t.reads - other.reads, t.writes - other.writes}
}

func (f *fleet) totals() totals {
	var sum totals
	for _, network := range f.entryNetworks {
		sum.entryBytes += float64(network.bytes.Load())
		sum.platformBytes += float64(network.toPlatform.Load())
	}
	for _, network := range f.agentNetworks {
		sum.agentBytes += float64(network.bytes.Load())
	}
	reads, writes := f.platform.Tables.Operations()
	sum.reads, sum.writes = float64(reads), float64(writes)
	return sum
}

// processCPUTime returns the CPU time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingNetwork counts the bytes that one process sends and receives.
type countingNetwork struct {
	platformAddress string
	bytes           atomic.Int64
	toPlatform      atomic.Int64
}

func (n *countingNetwork) Listen(address string) (net.Listener, error) {
	listener, err := netx.TCP{}.Listen(address)
	return countingListener{Listener: listener, network: n}, err
}

func (n *countingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := netx.TCP{}.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, network: n, toPlatform: address == n.platformAddress}, nil
}

type countingListener struct {
	net.Listener
	network *countingNetwork
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, network: l.network}, nil
}

type countingConn struct {
	net.Conn
	network    *countingNetwork
	toPlatform bool
}

func (c countingConn) count(n int) {
	c.network.bytes.Add(int64(n))
	if c.toPlatform {
		c.network.toPlatform.Add(int64(n))
	}
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count(n)
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count(n)
	return n, err
}
