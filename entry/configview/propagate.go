package configview

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/config"
)

const (
	propagateInterval = 500 * time.Millisecond
	// awaitTimeout limits how long an operator waits for a change to be in force.
	awaitTimeout = 2 * config.EntryMaxStaleness
)

// Propagation reports how many entries have a change.
type Propagation struct {
	Acknowledged int  `json:"acknowledged"` // Entries that have the change, including this one.
	Listed       int  `json:"listed"`       // Entries in the list of VMs.
	InForce      bool `json:"in_force"`     // No entry uses an older revision.
}

// AwaitInForce propagates a revision until no entry can use an older one, or
// until awaitTimeout. That is the case when all listed entries have the revision,
// or when a majority has it and EntryMaxStaleness has passed since, after which
// the other entries refuse work.
func (v *View) AwaitInForce(ctx context.Context, revision config.Revision) Propagation {
	ctx, cancel := context.WithTimeout(ctx, awaitTimeout)
	defer cancel()
	for {
		result := v.Propagate(ctx, revision)
		if result.Acknowledged == result.Listed {
			result.InForce = true
			return result
		}
		if 2*result.Acknowledged > result.Listed {
			result.InForce = clock.Sleep(ctx, config.EntryMaxStaleness)
			return result
		}
		if !clock.Sleep(ctx, propagateInterval) {
			return result
		}
	}
}

// Propagate sends the latest changes to all listed entries in two rounds and
// counts the entries that acknowledged the revision in both without a restart in
// between. All of these had the revision at the same time, at the end of the first
// round.
func (v *View) Propagate(ctx context.Context, revision config.Revision) Propagation {
	others := v.options.Peers.Others()
	first := v.queryAll(others, func(address string) (ExchangeReply, bool) { return v.sendChanges(ctx, address, revision) })
	second := v.queryAll(others, func(address string) (ExchangeReply, bool) {
		if _, acknowledged := first[address]; !acknowledged {
			return ExchangeReply{}, false
		}
		return v.confirm(ctx, address, revision)
	})
	result := Propagation{Listed: len(others) + 1}
	if v.latestOrEmpty().Revision >= revision && v.remembers() {
		result.Acknowledged++
	}
	for address, reply := range second {
		if reply.Instance == first[address].Instance {
			result.Acknowledged++
		}
	}
	return result
}

func (v *View) remembers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshness.Remembers()
}

// queryAll calls query for all addresses and returns the replies of those that
// acknowledged.
func (v *View) queryAll(addresses []string, query func(address string) (ExchangeReply, bool)) map[string]ExchangeReply {
	var mu sync.Mutex
	acknowledged := make(map[string]ExchangeReply)
	v.forEach(addresses, func(address string) {
		reply, ok := query(address)
		if !ok {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		acknowledged[address] = reply
	})
	return acknowledged
}

// sendChanges sends the change with the given revision and the later ones. If the
// reply shows that the peer lacks earlier changes, it sends those too.
func (v *View) sendChanges(ctx context.Context, address string, revision config.Revision) (ExchangeReply, bool) {
	after := revision - 1
	for range 2 {
		reply, err := v.exchange(ctx, address, v.requestAfter(after))
		if err != nil {
			return ExchangeReply{}, false
		}
		if reply.Revision >= revision {
			return reply, reply.Remembers
		}
		after = reply.Revision
	}
	return ExchangeReply{}, false
}

func (v *View) requestAfter(revision config.Revision) ExchangeRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	changes, _ := v.changesAfter(revision)
	return ExchangeRequest{Revision: v.latestOrEmpty().Revision, Changes: changes}
}

func (v *View) confirm(ctx context.Context, address string, revision config.Revision) (ExchangeReply, bool) {
	request := ExchangeRequest{Revision: v.latestOrEmpty().Revision, OnlyCompare: true}
	reply, err := v.exchange(ctx, address, request)
	return reply, err == nil && reply.Remembers && reply.Revision >= revision
}
