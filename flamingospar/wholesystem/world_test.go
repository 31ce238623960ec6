// Package wholesystem runs the real entry and agent code against the stand-ins
// on virtual time under seeded faults, and compares what callers were told with
// what the endpoints did.
package wholesystem

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	agentsettings "flamingospar.org/agent/settings"
	agentwiring "flamingospar.org/agent/wiring"
	"flamingospar.org/base/netx"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
	"flamingospar.org/entry/operator"
	entrysettings "flamingospar.org/entry/settings"
	entrywiring "flamingospar.org/entry/wiring"
	"flamingospar.org/platform/vms"
	"flamingospar.org/standin/engine"
	"flamingospar.org/standin/engine/batch"
	"flamingospar.org/standin/fleet"
	"flamingospar.org/standin/memnet"
	"flamingospar.org/standin/plain"
	"flamingospar.org/standin/platform"
)

const (
	latency     = 500 * time.Microsecond
	platformURL = "http://platform:80"
	poison      = "POISON"
	modelName   = "notice"
)

// shape is the size of a world.
type shape struct {
	entries, engines, claims, serials int
}

var smallShape = shape{entries: 3, engines: 4, claims: 2, serials: 2}

// endpoint is one endpoint VM: the endpoint and the agent beside it.
type endpoint struct {
	id    string
	kind  string
	index int

	host    *memnet.Host
	stop    context.CancelFunc
	engine  *engine.Engine
	service *plain.Service
	crashes int
	memory  *dedupe
	// Counts of the processes that have ended.
	engines  []*engine.Engine
	services []*plain.Service

	agentHost *memnet.Host
	stopAgent context.CancelFunc
	agentDone chan struct{}
	// restarting is set while a fault stops and starts the agent.
	restarting bool
}

// entryProcess is one entry VM.
type entryProcess struct {
	index int
	host  *memnet.Host
	stop  context.CancelFunc
	done  chan struct{}
	entry *entrywiring.Entry
	// leaving entries get no more callers, as behind a balancer.
	leaving bool
	// restarting is set while a fault stops and starts the entry.
	restarting bool
}

func hostName(e *entryProcess) string { return fmt.Sprintf("entry-%d", e.index) }

func (e *entryProcess) url() string { return fmt.Sprintf("http://entry-%d:80", e.index) }

// world is the whole system under test.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	network  *memnet.Network
	platform *platform.Platform
	key      string
	team     string
	client   *http.Client
	ctx      context.Context

	mu        sync.Mutex
	endpoints []*endpoint
	entries   []*entryProcess
	past      []*entryProcess // Ended, for their counters.
	// tune changes settings before an entry or agent is built.
	tuneEntry func(*entrysettings.Settings)
	tuneAgent func(*agentsettings.Settings)
	// replaced engines start after this time.
	restartAfter time.Duration
	serviceDelay time.Duration
	keyHeader    string // Carries callers' idempotency keys.
	dedupe       bool   // Endpoints answer known keys from memory.
}

func newWorld(t *testing.T, seed uint64, size shape) *world {
	network := memnet.New(latency)
	w := &world{
		t:            t,
		rng:          rand.New(rand.NewPCG(seed, seed)),
		network:      network,
		platform:     platform.New(),
		client:       netx.UnpooledHTTP1Client(network.Host("callers")),
		ctx:          t.Context(),
		restartAfter: 3 * time.Second,
		serviceDelay: 150 * time.Millisecond,
		keyHeader:    "Idempotency-Key",
		tuneEntry:    func(*entrysettings.Settings) {},
		tuneAgent:    func(*agentsettings.Settings) {},
	}
	w.servePlatform()
	w.seedConfig()
	w.addEndpoints("notice", "model", size.engines)
	w.addEndpoints("claim", "claims", size.claims)
	w.addEndpoints("serial", "serials", size.serials)
	return w
}

func (w *world) start(size shape) {
	for _, e := range w.endpoints {
		w.startEndpoint(e)
		w.startAgent(e)
	}
	w.listVMs(size.entries)
	for i := range size.entries {
		e := &entryProcess{index: i}
		w.entries = append(w.entries, e)
		w.startEntry(e)
	}
	time.Sleep(3 * time.Second)
}

func (w *world) servePlatform() {
	listener, err := w.network.Host("platform").Listen("platform:80")
	require.NoError(w.t, err)
	server := netx.Server(w.platform.Handler())
	go func() { _ = server.Serve(listener) }()
	w.t.Cleanup(func() { _ = server.Close() })
}

func (w *world) seedConfig() {
	document, err := catalogue.Parse("trust.toml", []byte(fleet.Trust().Catalogue))
	require.NoError(w.t, err)
	view := configview.New(w.platform.Tables, configview.Options{})
	_, err = view.Write(w.ctx, 0, config.Change{Operator: "test", Catalogue: document})
	require.NoError(w.t, err)
	w.key, w.team = operator.NewKey(), document.Teams[0].Name
	issued := config.Key{ID: "key-1", Team: w.team, Hash: config.HashKey(w.key)}
	_, err = view.Write(w.ctx, 0, config.Change{Operator: "test", IssueKey: &issued})
	require.NoError(w.t, err)
}

func (w *world) addEndpoints(name, kind string, count int) {
	for i := range count {
		w.endpoints = append(w.endpoints, &endpoint{id: fmt.Sprintf("%s-%d", name, i), kind: kind, index: len(w.endpoints)})
	}
}

func (w *world) listVMs(entries int) {
	list := w.vmsWithout(nil)
	for i := range entries {
		list = append(list, vms.VM{Instance: fmt.Sprintf("entry-%d", i), Role: vms.Entry, DataCentre: "waco", Address: fmt.Sprintf("entry-%d:82", i)})
	}
	w.platform.SetVMs(list)
}

// vmsWithout lists the agents' VMs but for one.
func (w *world) vmsWithout(left *endpoint) []vms.VM {
	var list []vms.VM
	for _, e := range w.endpoints {
		if e != left {
			list = append(list, vms.VM{Instance: "agent-" + e.id, Role: vms.Agent, DataCentre: "waco", Address: "agent-" + e.id + ":80"})
		}
	}
	return list
}

func (w *world) startEndpoint(e *endpoint) {
	ctx, stop := context.WithCancel(w.ctx)
	host := w.network.Host("endpoint-" + e.id)
	listener, err := host.Listen("endpoint-" + e.id + ":80")
	require.NoError(w.t, err)
	var handler http.Handler
	w.mu.Lock()
	e.host, e.stop = host, stop
	if e.kind == "model" {
		e.engine = engine.New(modelName, batch.DefaultConfig())
		e.engine.SetFaults(engine.Faults{Poison: poison, Crash: func() { go w.crashEndpoint(e) }})
		e.engines = append(e.engines, e.engine)
		handler = e.engine.Handler()
		go e.engine.Run(ctx)
	} else {
		e.service = plain.New(e.kind)
		e.service.SetFaults(plain.Faults{Delay: w.serviceDelay})
		e.services = append(e.services, e.service)
		handler = e.service
		if w.dedupe {
			e.memory = &dedupe{next: e.service}
			e.memory.forget()
			handler = e.memory
		}
	}
	w.mu.Unlock()
	server := netx.Server(handler)
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

// crashEndpoint ends the endpoint's process; another starts after restartAfter.
func (w *world) crashEndpoint(e *endpoint) {
	w.mu.Lock()
	host, stop := e.host, e.stop
	if host == nil {
		w.mu.Unlock()
		return
	}
	e.host = nil
	e.crashes++
	w.mu.Unlock()
	host.Kill()
	stop()
	time.Sleep(w.restartAfter)
	if w.ctx.Err() == nil {
		w.startEndpoint(e)
	}
}

func (w *world) startAgent(e *endpoint) {
	settings := agentsettings.Settings{
		DataCentre:   "waco",
		Listen:       "agent-" + e.id + ":80",
		Endpoint:     e.id,
		EndpointURL:  "http://endpoint-" + e.id + ":80",
		EndpointKind: e.kind,
		PlatformURL:  platformURL,
		Running:      agentsettings.DefaultRunning,
		Waiting:      agentsettings.DefaultWaiting,
	}
	w.tuneAgent(&settings)
	checked, err := settings.Checked()
	require.NoError(w.t, err)
	if e.memory != nil {
		e.memory.forget()
	}
	host := w.network.Host("agent-" + e.id)
	agent, err := agentwiring.Build(checked, host)
	require.NoError(w.t, err)
	listener, err := agent.Listen()
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(w.ctx)
	done := make(chan struct{})
	w.mu.Lock()
	e.agentHost, e.stopAgent, e.agentDone = host, stop, done
	w.mu.Unlock()
	go func() {
		defer close(done)
		_ = agent.Serve(ctx, listener)
	}()
}

func (w *world) startEntry(e *entryProcess) {
	settings := entrysettings.Defaults()
	settings.DataCentre = "waco"
	settings.Listen = fmt.Sprintf("entry-%d:80", e.index)
	settings.OperatorListen = fmt.Sprintf("entry-%d:81", e.index)
	settings.Operators.Open = true
	settings.Authority.PeerListen = fmt.Sprintf("entry-%d:82", e.index)
	settings.PlatformURL = platformURL
	settings.Deadline = catalogue.Duration(20 * time.Second)
	settings.DrainTimeout = catalogue.Duration(30 * time.Second)
	w.tuneEntry(&settings)
	checked, err := settings.Checked()
	require.NoError(w.t, err)
	host := w.network.Host(fmt.Sprintf("entry-%d", e.index))
	entry, err := entrywiring.Build(checked, host)
	require.NoError(w.t, err)
	listeners, err := entry.Listen()
	require.NoError(w.t, err)
	ctx, stop := context.WithCancel(w.ctx)
	done := make(chan struct{})
	w.mu.Lock()
	w.past = append(w.past, &entryProcess{entry: entry})
	e.host, e.stop, e.done, e.entry, e.leaving = host, stop, done, entry, false
	w.mu.Unlock()
	go func() {
		defer close(done)
		_ = entry.Serve(ctx, listeners)
	}()
}

// pickEntry returns the URL of an entry that the balancer would choose.
func (w *world) pickEntry(rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var urls []string
	for _, e := range w.entries {
		if !e.leaving {
			urls = append(urls, e.url())
		}
	}
	return urls[rng.IntN(len(urls))]
}

// runs returns how often content was begun at all endpoints together.
func (w *world) runs(content string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := 0
	for _, e := range w.endpoints {
		for _, s := range e.services {
			total += s.BodyCounts()[content]
		}
		for _, g := range e.engines {
			total += g.PromptCounts()[content]
		}
	}
	return total
}

// counter adds a counter over all entry processes there were.
func (w *world) counter(parts ...string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	total := int64(0)
	for _, e := range w.past {
		total += e.entry.Meter.Counter(parts...)
	}
	return total
}

// stop ends all processes and waits until their goroutines have ended.
func (w *world) stop() {
	w.platform.SetFaults(platform.Faults{})
	for _, e := range w.entries {
		e.host.Resume()
		e.stop()
	}
	for _, e := range w.endpoints {
		e.agentHost.Resume()
		e.stopAgent()
	}
	for _, e := range w.entries {
		<-e.done
	}
	for _, e := range w.endpoints {
		<-e.agentDone
		if e.host != nil {
			e.stop()
		}
	}
	w.client.CloseIdleConnections()
}
