// Package peers joins the entry processes of a fleet. Each tells a few others
// what it has sent to endpoints, what began to run and which configuration it
// holds, so that loads add up, usage outlives a process that dies, and a process
// that the store turns away still learns of changes.
package peers

import (
	"context"
	"encoding/json"
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

// TableVMs lists the entry processes in the store.
const TableVMs = "vms"

// Times of the exchange.
const (
	// nearEvery is between two exchanges with a process of the same data centre.
	nearEvery = 100 * time.Millisecond
	// farEvery and farStep are the same of other data centres: at least the one,
	// and the other for each process there that one exchanges with. Bytes between
	// data centres are dear.
	farEvery = 100 * time.Millisecond
	farStep  = 100 * time.Millisecond
	// lostEvery bounds that while the store does not answer.
	lostEvery = 500 * time.Millisecond
	// usageEvery is between two copies of the usage counts for a process.
	usageEvery  = 1 * time.Second
	tick        = 25 * time.Millisecond
	callLimit   = 700 * time.Millisecond
	backoffStep = 1 * time.Second
	maxBackoff  = 8 * time.Second
	// registerRetry is between two attempts to list this process.
	registerRetry = 1 * time.Second
)

// maxNear and maxFar bound the processes that one exchanges with, so that the
// cost of a process does not grow with the fleet.
const (
	maxNear = 6
	maxFar  = 9
)

// maxPeerHeaders and maxMessage bound what one process takes from another in one
// exchange, in bytes: a configuration and all endpoints fit well.
const (
	maxPeerHeaders = 64 << 10
	maxMessage     = 8 << 20
)

// Member is an entry process as the store lists it.
type Member struct {
	VM         string `json:"vm"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Instance   string `json:"instance"`
}

// Sources is what this process tells others and what it takes from them.
type Sources interface {
	// State returns what this process tells another VM. usage asks for the
	// counts too.
	State(peer string, usage bool) *wirev1.PeerState
	// TakeState takes what another process tells.
	TakeState(*wirev1.PeerState)
	// Newer returns what a process lacks that tells this state.
	Newer(*wirev1.PeerState, *wirev1.ExchangeStateReply)
	// TakeNewer takes what another process had newer, which was asked at a time.
	// How old that is must be counted from then: what is passed on from process
	// to process would else seem younger with each step.
	TakeNewer(reply *wirev1.ExchangeStateReply, asked time.Time)
	// NewerConfiguration returns the configuration if the one that another
	// process told is older, or else nil.
	NewerConfiguration(*wirev1.PeerState) []byte
	// TakeConfiguration takes the configuration that a VM sent.
	TakeConfiguration(vm string, raw []byte)
	// StoreLost reports whether the store does not answer this process.
	StoreLost() bool
	// MemberGone is told of a process that is no longer listed.
	MemberGone(vm string)
}

// Circle is this process's place among the others.
type Circle struct {
	// Supervisor keeps a panic in one exchange to that one.
	Supervisor supervise.Supervisor

	self    Member
	seeds   []string // Addresses of processes that may know others.
	store   *site.Store
	sources Sources
	client  *http.Client

	mu      sync.Mutex
	members map[string]*peer
	// listRead says that the list was read whole, and joined when the seeds were
	// asked last.
	listRead bool
	joined   time.Time
	gone     map[string]string // The last instance by VM that is known to have ended.
}

type peer struct {
	Member
	client    wirev1connect.PeerServiceClient
	next      time.Time
	nextUsage time.Time
	failures  int
	calling   bool
	heard     time.Time // When it was listed, or told something last.
	storeLost bool      // It told then that the store does not answer it.
}

// told notes what the process tells of itself.
func (p *peer) told(state *wirev1.PeerState) {
	p.heard = time.Now()
	p.storeLost = state.GetStoreLost()
}

// New returns the circle of a process. It asks the processes at the seeds'
// addresses for others while it knows none.
func New(self Member, seeds []string, store *site.Store, sources Sources) *Circle {
	return &Circle{
		self: self, seeds: seeds, store: store, sources: sources, members: make(map[string]*peer), gone: make(map[string]string),
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 1, IdleConnTimeout: 20 * time.Second, DisableCompression: true, MaxResponseHeaderBytes: maxPeerHeaders,
		}},
	}
}

// Register lists this process in the store, and takes it off at ctx's end.
func (c *Circle) Register(ctx context.Context) {
	value, err := json.Marshal(c.self)
	if err != nil {
		log.Error(err, "This process can't be listed.", "vm", c.self.VM)
		return
	}
	for ctx.Err() == nil {
		var tx site.Tx
		tx.Put(TableVMs, c.self.VM, value)
		if c.commit(ctx, tx) == nil {
			break
		}
		clock.Sleep(ctx, registerRetry)
	}
	<-ctx.Done()
	var tx site.Tx
	tx.Remove(TableVMs, c.self.VM)
	if err := c.commit(context.WithoutCancel(ctx), tx); err != nil {
		log.Error(err, "This process stays listed after its end.", "vm", c.self.VM)
	}
}

func (c *Circle) commit(ctx context.Context, tx site.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	_, err := c.store.Commit(ctx, tx)
	return err
}

// Apply takes changed rows of the list, or all of them.
func (c *Circle) Apply(page site.Page, whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool)
	for _, row := range page.Rows {
		if row.Removed {
			c.remove(row.Key)
			continue
		}
		listed[row.Key] = true
		var member Member
		if err := json.Unmarshal(row.Value, &member); err != nil || member.Address == "" {
			log.Info("A row names no process and is passed over.", "row", row.Key)
			continue
		}
		c.add(member)
	}
	if !whole {
		return
	}
	c.listRead = true
	for vm := range c.members {
		if !listed[vm] {
			c.remove(vm)
		}
	}
}

func (c *Circle) add(member Member) {
	if member.VM == c.self.VM {
		return
	}
	known, ok := c.members[member.VM]
	if ok && known.Member == member {
		return
	}
	if ok {
		c.gone[member.VM] = known.Instance
	}
	log.Info("An entry process is listed.", "vm", member.VM, "address", member.Address, "instance", member.Instance)
	c.members[member.VM] = &peer{Member: member, heard: time.Now(), client: c.clientOf(member)}
}

// clientOf returns a client of a process. What goes to another data centre is
// compressed; within one, processor time is dearer than bytes.
func (c *Circle) clientOf(member Member) wirev1connect.PeerServiceClient {
	compression := connect.WithSendGzip()
	if member.DataCentre == c.self.DataCentre {
		compression = connect.WithAcceptCompression("gzip", nil, nil) // None.
	}
	return wirev1connect.NewPeerServiceClient(c.client, "http://"+member.Address, compression, connect.WithReadMaxBytes(maxMessage))
}

func (c *Circle) remove(vm string) {
	known, ok := c.members[vm]
	if !ok {
		return
	}
	delete(c.members, vm)
	c.gone[vm] = known.Instance
	log.Info("An entry process is no longer listed.", "vm", vm, "instance", known.Instance)
	c.sources.MemberGone(vm)
}

// Size returns the number of listed processes, this one included.
func (c *Circle) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.members) + 1
}

// Instances returns the instances of the other processes, and false while the
// list was not read.
func (c *Circle) Instances() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	instances := make([]string, 0, len(c.members))
	for _, p := range c.members {
		instances = append(instances, p.Instance)
	}
	return instances, c.listRead
}

// Run exchanges states until ctx ends.
func (c *Circle) Run(ctx context.Context) {
	for clock.Sleep(ctx, tick) {
		c.joinIfAlone(ctx)
		now := time.Now()
		for _, p := range c.due(now) {
			go c.exchange(ctx, p)
		}
	}
}

// due returns the processes to exchange with now, and marks them as called.
func (c *Circle) due(now time.Time) []*peer {
	lost := c.sources.StoreLost()
	c.mu.Lock()
	defer c.mu.Unlock()
	var due []*peer
	near, far := c.partners()
	farInterval := max(farEvery, time.Duration(len(far))*farStep)
	for _, p := range append(near, far...) {
		if p.calling || now.Before(p.next) {
			continue
		}
		p.calling = true
		p.next = now.Add(c.interval(p, farInterval, lost))
		due = append(due, p)
	}
	return due
}

func (c *Circle) interval(p *peer, far time.Duration, lost bool) time.Duration {
	if p.DataCentre == c.self.DataCentre {
		return nearEvery
	}
	if lost {
		return min(far, lostEvery)
	}
	return far
}

func (c *Circle) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	c.mu.Lock()
	usage := !time.Now().Before(p.nextUsage)
	c.mu.Unlock()
	var err error
	if panicked := c.Supervisor.Call("exchange", func() { err = c.tell(ctx, p, usage) }); panicked != nil {
		err = panicked
	}
	c.called(p, usage, err)
}

// told notes what a process told of itself.
func (c *Circle) told(state *wirev1.PeerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.members[state.GetVm()]; ok && p.Instance == state.GetInstance() {
		p.told(state)
	}
}

// tell makes one exchange, and a second that carries the configuration when the
// other process turns out to hold an older one: its call for it may have lost
// its answer.
func (c *Circle) tell(ctx context.Context, p *peer, usage bool) error {
	request := &wirev1.ExchangeStateRequest{
		State: c.sources.State(p.VM, usage), Address: c.self.Address, DataCentre: c.self.DataCentre, WantUsage: usage,
	}
	asked := time.Now()
	reply, err := p.client.ExchangeState(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	c.told(reply.Msg.GetState())
	c.sources.TakeState(reply.Msg.GetState())
	c.sources.TakeNewer(reply.Msg, asked)
	newer := c.sources.NewerConfiguration(reply.Msg.GetState())
	if newer == nil {
		return nil
	}
	log.Info("An entry process holds an older configuration and is sent this one.", "vm", p.VM, "version", reply.Msg.GetState().GetConfigurationVersion())
	request.Configuration = newer
	_, err = p.client.ExchangeState(ctx, connect.NewRequest(request))
	return err
}

func (c *Circle) called(p *peer, usage bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.calling = false
	if err != nil {
		p.failures++
		p.next = time.Now().Add(min(time.Duration(p.failures)*backoffStep, maxBackoff))
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
		p.nextUsage = time.Now().Add(usageEvery)
	}
}

// ExchangeState implements the other side of the exchange.
func (c *Circle) ExchangeState(_ context.Context, request *connect.Request[wirev1.ExchangeStateRequest]) (*connect.Response[wirev1.ExchangeStateReply], error) {
	state := request.Msg.GetState()
	c.learn(request.Msg)
	c.sources.TakeState(state)
	if raw := request.Msg.GetConfiguration(); len(raw) > 0 {
		c.sources.TakeConfiguration(state.GetVm(), raw)
	}
	reply := &wirev1.ExchangeStateReply{State: c.sources.State(state.GetVm(), request.Msg.GetWantUsage())}
	c.sources.Newer(state, reply)
	if request.Msg.GetWantMembers() {
		reply.Members = c.knownMembers()
	}
	return connect.NewResponse(reply), nil
}

// learn adds a process to the members that was not listed yet when this one
// last read the list. One that was taken off it is not added again.
func (c *Circle) learn(request *wirev1.ExchangeStateRequest) {
	state := request.GetState()
	c.mu.Lock()
	defer c.mu.Unlock()
	if request.GetAddress() == "" || c.gone[state.GetVm()] == state.GetInstance() {
		return
	}
	if p, ok := c.members[state.GetVm()]; ok && p.Instance == state.GetInstance() {
		p.told(state)
		return
	}
	c.add(Member{VM: state.GetVm(), Address: request.GetAddress(), DataCentre: request.GetDataCentre(), Instance: state.GetInstance()})
}

// Handler returns the path and handler of the service.
func (c *Circle) Handler() (string, http.Handler) {
	return wirev1connect.NewPeerServiceHandler(c, connect.WithReadMaxBytes(maxMessage))
}
