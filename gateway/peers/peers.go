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
	// GrantQuota answers a process that asks for units of teams' quotas.
	GrantQuota(*wirev1.AcquireQuotaRequest) *wirev1.AcquireQuotaReply
	// FindStream returns the version that began a stream, if this process knows it.
	FindStream(id uint64) (string, bool)
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
	heardAt    time.Time       // When another process was last heard.
	// silentUntil is when the last time ended in which none was heard.
	silentUntil time.Time
	// listLoaded is set once the complete list has been read from the store.
	listLoaded       bool
	seedsContactedAt time.Time
	endedInstances   map[string]time.Time // When instances were found to have ended.
	listEra          int64                // Of the store that the list was read from.
	// unlisted are the members that a list lacked after the store came back from an older
	// copy, with the time until which they may register again.
	unlisted    map[string]time.Time
	invalidRows logging.Reasons // Why rows of the list describe no process, by key.
	restored    chan struct{}   // Receives a value when this process must register again.
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

// Handler returns the path and handler of the peer service.
func (c *Cluster) Handler() (string, http.Handler) {
	return wirev1connect.NewPeerServiceHandler(serviceHandler{c}, connect.WithReadMaxBytes(maxMessageBytes))
}
