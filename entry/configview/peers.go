package configview

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/core/config"
	"flamingospar.org/core/rendezvous"
)

const (
	defaultParallel = 16
	peerTimeout     = 800 * time.Millisecond
	// collectorCount is the number of entries that query all others while the
	// table service is down; the other entries get their evidence from these.
	collectorCount = 3
	collectorsKey  = "config-collectors"
	initialFanout  = collectorCount
	// targetEvidenceAge is the age of evidence below which the next round starts
	// with initialFanout peers again.
	targetEvidenceAge = pollInterval
	// reportRetention is how long a peer's report is kept.
	reportRetention = time.Minute
)

// ExchangeRequest is sent by one entry to another. It carries the sender's revision
// and changes that the receiver may lack.
type ExchangeRequest struct {
	Instance    string
	Revision    config.Revision
	Changes     []config.Change
	OnlyCompare bool
}

// ExchangeReply is the reply to an ExchangeRequest.
type ExchangeReply struct {
	Instance  string
	Revision  config.Revision
	Proved    bool
	Age       time.Duration // Age of the evidence if Proved is set.
	Remembers bool
	Changes   []config.Change
	Snapshot  *config.Snapshot
}

// Peers calls the other entries in the list of VMs.
type Peers interface {
	// Self returns this entry's address.
	Self() string
	// Others returns the addresses of the other listed entries.
	Others() []string
	Exchange(ctx context.Context, address string, request ExchangeRequest) (ExchangeReply, error)
}

// NoPeers is the Peers of an entry without peers.
type NoPeers struct{}

func (NoPeers) Self() string { return "" }

func (NoPeers) Others() []string { return nil }

func (NoPeers) Exchange(context.Context, string, ExchangeRequest) (ExchangeReply, error) {
	return ExchangeReply{}, context.Canceled
}

// HandleExchange applies the changes in another entry's request and returns the
// changes that the other entry lacks.
func (v *View) HandleExchange(request ExchangeRequest) ExchangeReply {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(request.Changes) > 0 {
		v.apply(request.Changes)
	}
	latest := v.latestOrEmpty()
	reply := ExchangeReply{Instance: v.options.Instance, Revision: latest.Revision, Remembers: v.freshness.Remembers()}
	age, proved := v.freshness.Age(v.options.Clock())
	reply.Age, reply.Proved = age, proved && age < config.EntryMaxStaleness
	if request.Revision > latest.Revision {
		v.triggerStep()
	}
	if !request.OnlyCompare && request.Revision < latest.Revision {
		v.addMissing(&reply, request.Revision, latest)
	}
	return reply
}

func (v *View) addMissing(reply *ExchangeReply, revision config.Revision, latest *config.State) {
	changes, complete := v.changesAfter(revision)
	if complete {
		reply.Changes = changes
		return
	}
	snapshot := latest.Snapshot()
	reply.Snapshot = &snapshot
}

// triggerStep makes Run take its next step immediately.
func (v *View) triggerStep() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// queryPeers asks other entries for evidence. A collector queries all of them; the
// others query the collectors, and twice as many entries after each round that
// yields no recent evidence. The caller holds storeMu.
func (v *View) queryPeers(ctx context.Context) {
	others := v.options.Peers.Others()
	targets := v.targets(others)
	v.forEach(targets, func(address string) { v.queryPeer(ctx, address) })
	now := v.options.Clock()
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.latestOrEmpty().Revision
	if held > 0 {
		v.freshness.RecordMajority(others, held, now)
	}
	v.freshness.DropReportsBefore(now.Add(-reportRetention))
	if v.freshness.Fresh(now, targetEvidenceAge) {
		v.fanout = initialFanout
		return
	}
	v.fanout *= 2
}

func (v *View) targets(others []string) []string {
	self := v.options.Peers.Self()
	ranked := rendezvous.Rank(collectorsKey, append([]string{self}, others...))
	targets := make([]string, 0, len(others))
	isCollector := false
	for i, address := range ranked {
		if address == self {
			isCollector = i < collectorCount
			continue
		}
		targets = append(targets, address)
	}
	if isCollector || v.fanout >= len(targets) {
		return targets
	}
	return targets[:v.fanout]
}

// queryPeer exchanges revisions with one peer and records its report.
func (v *View) queryPeer(ctx context.Context, address string) (ExchangeReply, error) {
	held := v.latestOrEmpty().Revision
	return v.exchange(ctx, address, ExchangeRequest{Revision: held})
}

func (v *View) exchange(ctx context.Context, address string, request ExchangeRequest) (ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request.Instance = v.options.Instance
	requestedAt := v.options.Clock()
	reply, err := v.options.Peers.Exchange(ctx, address, request)
	if err != nil {
		v.count("config", "peer_failed")
		return ExchangeReply{}, err
	}
	v.recordReply(address, requestedAt, reply)
	return reply, nil
}

func (v *View) recordReply(address string, requestedAt time.Time, reply ExchangeReply) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if reply.Snapshot != nil {
		v.applySnapshot(*reply.Snapshot)
	}
	if len(reply.Changes) > 0 {
		v.apply(reply.Changes)
	}
	report := config.PeerReport{
		Entry:     address,
		Revision:  reply.Revision,
		Asked:     requestedAt,
		Proved:    reply.Proved,
		Age:       reply.Age,
		Remembers: reply.Remembers,
	}
	v.freshness.RecordReport(report, v.latestOrEmpty().Revision)
}

// forEach calls fn for each address, at most Parallel at a time.
func (v *View) forEach(addresses []string, fn func(address string)) {
	if v.options.Parallel == 1 {
		for _, address := range addresses {
			fn(address)
		}
		return
	}
	semaphore := make(chan struct{}, v.options.Parallel)
	var calls sync.WaitGroup
	for _, address := range addresses {
		semaphore <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-semaphore }()
			fn(address)
		}()
	}
	calls.Wait()
}
