// Package peers exchanges state between the entry processes of a fleet. Each
// process sends a few others the load that it has placed on endpoints, its usage
// counts and its configuration version. Every process then accounts for the load
// of all, usage counts survive a process that crashes, and a process that cannot
// reach the store still receives changes.
package peers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/supervise"
	"flamingospar.org/platform/site"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

var log = logging.For("gateway/peers")

// TableVMs is the table of the store that lists the entry processes.
const TableVMs = "vms"

// Intervals and timeouts of the exchange.
const (
	// localInterval is the time between two exchanges with a process of the same
	// data centre.
	localInterval = 100 * time.Millisecond
	// minRemoteInterval is the least time between two exchanges with a process of
	// another data centre. The interval is remoteIntervalPerTarget times the number
	// of remote targets if that is longer, since traffic between data centres is
	// expensive.
	minRemoteInterval       = 100 * time.Millisecond
	remoteIntervalPerTarget = 100 * time.Millisecond
	// maxIntervalStoreLost bounds the remote interval while the store does not answer.
	maxIntervalStoreLost = 500 * time.Millisecond
	// usageInterval is the time between two exchanges with a process that include
	// the usage counts.
	usageInterval = 1 * time.Second
	tickInterval  = 25 * time.Millisecond
	callTimeout   = 700 * time.Millisecond
	backoffStep   = 1 * time.Second
	maxBackoff    = 8 * time.Second
	// registerRetryDelay is the time between two attempts to list this process.
	registerRetryDelay = 1 * time.Second
)

// maxLocalTargets and maxRemoteTargets bound the processes that one process calls,
// so that its cost does not grow with the fleet.
const (
	maxLocalTargets  = 6
	maxRemoteTargets = 9
)

// maxHeaderBytes and maxMessageBytes bound what a process accepts from another in
// one exchange. A message has ample room for a configuration and all endpoints.
const (
	maxHeaderBytes  = 64 << 10
	maxMessageBytes = 8 << 20
)

// maxIdleConnsPerPeer leaves a connection each for exchanges and for permits.
const maxIdleConnsPerPeer = 2

// Member is an entry process as the store lists it.
type Member struct {
	VM         string `json:"vm"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
}

// LocalState is the state of this process that is exchanged with other processes.
type LocalState interface {
	// State returns the state to send to the process on VM peer, with the usage
	// counts if usage is set.
	State(peer string, usage bool) *wirev1.PeerState
	// MergeState merges the state of another process.
	MergeState(*wirev1.PeerState)
	// AddNewer adds to the reply the configuration and endpoints that are newer
	// than those of the given state.
	AddNewer(*wirev1.PeerState, *wirev1.ExchangeStateReply)
	// ApplyNewer applies the newer configuration and endpoints of a reply to a
	// request sent at requestedAt. Their age counts from requestedAt; otherwise
	// data that is relayed from process to process would appear newer with each
	// hop.
	ApplyNewer(reply *wirev1.ExchangeStateReply, requestedAt time.Time)
	// NewerConfiguration returns the configuration if it is newer than that of
	// the given state, and nil otherwise.
	NewerConfiguration(*wirev1.PeerState) []byte
	// ApplyConfiguration applies the configuration received from a VM.
	ApplyConfiguration(vm string, raw []byte)
	// StoreLost reports whether this process gets no answer from the store.
	StoreLost() bool
	// MemberRemoved is called when a process is no longer listed.
	MemberRemoved(vm string)
	// GrantSends answers a process that asks for permits to send requests to an
	// endpoint.
	GrantSends(*wirev1.AcquireSendsRequest) *wirev1.AcquireSendsReply
}

// Cluster tracks the other entry processes of the fleet and exchanges state with
// them.
type Cluster struct {
	// Supervisor recovers a panic of an exchange, which then counts as failed.
	Supervisor supervise.Supervisor
	// Now is the clock by which exchanges are due and other processes are silent.
	Now func() time.Time

	self       Member
	seeds      []string // Addresses of processes that may know other members.
	store      *site.Store
	localState LocalState
	client     *http.Client

	mu         sync.Mutex
	members    map[string]*peer
	generation uint64          // Changes with the VMs and instances of members.
	watched    map[string]bool // VMs that are called in any case.
	resumedAt  time.Time       // When this process last ran again after a pause.
	// listLoaded is set once the complete list has been read from the store.
	listLoaded       bool
	seedsContactedAt time.Time
	endedInstances   map[string]time.Time // When instances were found to have ended.
	listEra          int64                // Of the store that the list was read from.
	// unlisted are the members that a list lacked after the store came back from an older
	// copy, with the time until which they may register again.
	unlisted map[string]time.Time
	restored chan struct{} // Receives a value when this process must register again.
}

type peer struct {
	Member
	client       wirev1connect.PeerServiceClient
	nextExchange time.Time
	nextUsage    time.Time
	failures     int
	inFlight     bool
	lastSeen     time.Time // When it was listed or last sent its state.
	calledSince  time.Time // When this process began to call it regularly; zero if it doesn't.
	storeLost    bool      // Its last state says that it gets no answer from the store.
}

// observe records the state that the process has sent of itself.
func (p *peer) observe(state *wirev1.PeerState, now time.Time) {
	p.lastSeen = now
	p.storeLost = state.GetStoreLost()
}

// New returns the cluster as seen by the process self. While it knows no members,
// it asks the processes at the seed addresses for them.
func New(self Member, seeds []string, store *site.Store, localState LocalState) *Cluster {
	return &Cluster{
		Now: time.Now, self: self, seeds: seeds, store: store, localState: localState, members: make(map[string]*peer), endedInstances: make(map[string]time.Time), unlisted: make(map[string]time.Time), restored: make(chan struct{}, 1),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: 20 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
		}},
	}
}

// Run exchanges state with other processes until ctx ends.
func (c *Cluster) Run(ctx context.Context) {
	lastTick := c.Now()
	for clock.Sleep(ctx, tickInterval) {
		c.contactSeeds(ctx)
		now := c.Now()
		c.notePause(lastTick, now)
		c.removeUnlisted(now)
		lastTick = now
		for _, p := range c.due(now) {
			go c.exchange(ctx, p)
		}
	}
}

// due returns the processes to call now, and marks them as in flight.
func (c *Cluster) due(now time.Time) []*peer {
	storeLost := c.localState.StoreLost()
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*peer
	local, remote := c.exchangeTargets()
	c.markCalled(now, local, remote)
	remoteInterval := max(minRemoteInterval, time.Duration(len(remote))*remoteIntervalPerTarget)
	for _, p := range append(local, remote...) {
		if p.inFlight || now.Before(p.nextExchange) {
			continue
		}
		p.inFlight = true
		p.nextExchange = now.Add(c.interval(p, remoteInterval, storeLost))
		due = append(due, p)
	}
	return due
}

// interval returns the time until the next exchange with p.
func (c *Cluster) interval(p *peer, remoteInterval time.Duration, storeLost bool) time.Duration {
	if p.DataCentre == c.self.DataCentre {
		return localInterval
	}
	if storeLost {
		return min(remoteInterval, maxIntervalStoreLost)
	}
	return remoteInterval
}

func (c *Cluster) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.mu.Lock()
	usage := !c.Now().Before(p.nextUsage)
	c.mu.Unlock()
	var err error
	if panicErr := c.Supervisor.Call("exchange", func() { err = c.exchangeState(ctx, p, usage) }); panicErr != nil {
		err = panicErr
	}
	c.finishExchange(p, usage, err)
}

// observePeer records the state with which a member has answered a call. Another instance
// that answers at its address has taken its place.
func (c *Cluster) observePeer(called *peer, state *wirev1.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.members[state.GetVm()]
	if ok && p == called && p.Instance != state.GetInstance() {
		delete(c.endedInstances, state.GetInstance())
		answered := p.Member
		answered.Instance = state.GetInstance()
		c.add(answered)
		p = c.members[state.GetVm()]
	}
	if ok && p.Instance == state.GetInstance() {
		p.observe(state, c.Now())
	}
}

// exchangeState calls a process. If the reply shows that it has an older
// configuration, a second call sends it the current one: the response to its own
// request for the configuration may have been lost.
func (c *Cluster) exchangeState(ctx context.Context, p *peer, usage bool) error {
	request := &wirev1.ExchangeStateRequest{
		State: c.localState.State(p.VM, usage), Address: c.self.Address, DataCentre: c.self.DataCentre, WantUsage: usage,
	}
	requestedAt := time.Now()
	reply, err := p.client.ExchangeState(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	c.observePeer(p, reply.Msg.GetState())
	c.localState.MergeState(reply.Msg.GetState())
	c.localState.ApplyNewer(reply.Msg, requestedAt)
	newer := c.localState.NewerConfiguration(reply.Msg.GetState())
	if newer == nil {
		return nil
	}
	log.Info("An entry process has an older configuration; sending it the current one.", "vm", p.VM, "version", reply.Msg.GetState().GetConfigurationVersion())
	request.Configuration = newer
	_, err = p.client.ExchangeState(ctx, connect.NewRequest(request))
	return err
}

// finishExchange records the result of an exchange and backs off after a failure.
func (c *Cluster) finishExchange(p *peer, usage bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight = false
	if err != nil {
		p.failures++
		p.nextExchange = c.Now().Add(min(time.Duration(p.failures)*backoffStep, maxBackoff))
		if p.failures == 1 {
			log.Error(err, "An entry process does not answer.", "vm", p.VM, "address", p.Address)
		}
		return
	}
	if p.failures > 0 {
		log.Info("An entry process answers again.", "vm", p.VM, "failures", p.failures)
	}
	p.failures = 0
	if usage {
		p.nextUsage = c.Now().Add(usageInterval)
	}
}

// ExchangeState serves an exchange that another process has started.
func (c *Cluster) ExchangeState(_ context.Context, request *connect.Request[wirev1.ExchangeStateRequest]) (*connect.Response[wirev1.ExchangeStateReply], error) {
	state := request.Msg.GetState()
	c.observeCaller(request.Msg)
	c.localState.MergeState(state)
	if raw := request.Msg.GetConfiguration(); len(raw) > 0 {
		c.localState.ApplyConfiguration(state.GetVm(), raw)
	}
	reply := &wirev1.ExchangeStateReply{State: c.localState.State(state.GetVm(), request.Msg.GetWantUsage())}
	c.localState.AddNewer(state, reply)
	if request.Msg.GetWantMembers() {
		reply.Members = c.knownMembers()
	}
	return connect.NewResponse(reply), nil
}

// observeCaller records the state of a calling process and adds it to the members
// if it is unknown, since it may have been listed after the list was last read.
// An instance that is known to have ended is not added again.
func (c *Cluster) observeCaller(request *wirev1.ExchangeStateRequest) {
	state := request.GetState()
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.GetAddress() == "" || c.mayBeLate(state.GetInstance()) {
		return
	}
	delete(c.endedInstances, state.GetInstance())
	if p, ok := c.members[state.GetVm()]; ok && p.Instance == state.GetInstance() {
		p.observe(state, c.Now())
		return
	}
	c.add(Member{VM: state.GetVm(), Address: request.GetAddress(), DataCentre: request.GetDataCentre(), Instance: state.GetInstance()})
}

// Handler returns the path and handler of the peer service.
func (c *Cluster) Handler() (string, http.Handler) {
	return wirev1connect.NewPeerServiceHandler(serviceHandler{c}, connect.WithReadMaxBytes(maxMessageBytes))
}
