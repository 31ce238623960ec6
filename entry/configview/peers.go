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
	// collectors are the entries that ask all others while the store is down;
	// the rest take their evidence from them.
	collectors    = 3
	collectorsKey = "config-collectors"
	firstWidth    = collectors
	// enough is the age of evidence at which no further peers are asked.
	enough = pollInterval
	// wordsKept is how long a peer's word is remembered.
	wordsKept = time.Minute
)

// Question is what one entry tells and asks another.
type Question struct {
	Instance    string
	Revision    config.Revision
	Changes     []config.Change
	OnlyCompare bool
}

// Answer is the other entry's reply.
type Answer struct {
	Instance  string
	Revision  config.Revision
	Proved    bool
	Age       time.Duration // Of the evidence, when Proved.
	Remembers bool
	Changes   []config.Change
	Snapshot  *config.Snapshot
}

// Peers reaches the other entries in the list of VMs.
type Peers interface {
	// Self is this entry's own address.
	Self() string
	// Others are the addresses of the other listed entries.
	Others() []string
	Exchange(ctx context.Context, address string, question Question) (Answer, error)
}

// NoPeers is an entry that is alone.
type NoPeers struct{}

// Self implements Peers.
func (NoPeers) Self() string { return "" }

// Others implements Peers.
func (NoPeers) Others() []string { return nil }

// Exchange implements Peers.
func (NoPeers) Exchange(context.Context, string, Question) (Answer, error) {
	return Answer{}, context.Canceled
}

// Answer replies to another entry and takes the changes that it passed on.
func (v *View) Answer(question Question) Answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(question.Changes) > 0 {
		v.take(question.Changes)
	}
	held := v.heldOrEmpty()
	answer := Answer{Instance: v.options.Instance, Revision: held.Revision, Remembers: v.freshness.Remembers()}
	age, proved := v.freshness.Age(v.options.Clock())
	answer.Age, answer.Proved = age, proved && age < config.EntryMaxStaleness
	if question.Revision > held.Revision {
		v.hurry()
	}
	if !question.OnlyCompare && question.Revision < held.Revision {
		v.fill(&answer, question.Revision, held)
	}
	return answer
}

func (v *View) fill(answer *Answer, revision config.Revision, held *config.State) {
	changes, complete := v.after(revision)
	if complete {
		answer.Changes = changes
		return
	}
	snapshot := held.Snapshot()
	answer.Snapshot = &snapshot
}

// hurry makes Run take its next step at once.
func (v *View) hurry() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// askPeers looks for evidence at other entries. A collector asks all of them;
// the others ask the collectors, and more entries in each round that brings
// nothing. It is called with following held.
func (v *View) askPeers(ctx context.Context) {
	others := v.options.Peers.Others()
	targets := v.targets(others)
	v.each(targets, func(address string) { v.ask(ctx, address) })
	now := v.options.Clock()
	v.mu.Lock()
	defer v.mu.Unlock()
	held := v.heldOrEmpty().Revision
	if held > 0 {
		v.freshness.RecordMajority(others, held, now)
	}
	v.freshness.DropReportsBefore(now.Add(-wordsKept))
	if v.freshness.Fresh(now, enough) {
		v.width = firstWidth
		return
	}
	v.width *= 2
}

func (v *View) targets(others []string) []string {
	self := v.options.Peers.Self()
	ranked := rendezvous.Rank(collectorsKey, append([]string{self}, others...))
	targets := make([]string, 0, len(others))
	isCollector := false
	for i, address := range ranked {
		if address == self {
			isCollector = i < collectors
			continue
		}
		targets = append(targets, address)
	}
	if isCollector || v.width >= len(targets) {
		return targets
	}
	return targets[:v.width]
}

// ask exchanges revisions with one peer and notes its word.
func (v *View) ask(ctx context.Context, address string) (Answer, error) {
	held := v.heldOrEmpty().Revision
	return v.exchange(ctx, address, Question{Revision: held})
}

func (v *View) exchange(ctx context.Context, address string, question Question) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	question.Instance = v.options.Instance
	asked := v.options.Clock()
	answer, err := v.options.Peers.Exchange(ctx, address, question)
	if err != nil {
		v.count("config", "peer_failed")
		return Answer{}, err
	}
	v.hear(address, asked, answer)
	return answer, nil
}

func (v *View) hear(address string, asked time.Time, answer Answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if answer.Snapshot != nil {
		v.takeSnapshot(*answer.Snapshot)
	}
	if len(answer.Changes) > 0 {
		v.take(answer.Changes)
	}
	word := config.PeerReport{
		Entry:     address,
		Revision:  answer.Revision,
		Asked:     asked,
		Proved:    answer.Proved,
		Age:       answer.Age,
		Remembers: answer.Remembers,
	}
	v.freshness.RecordReport(word, v.heldOrEmpty().Revision)
}

// each calls do for each address, Parallel at a time.
func (v *View) each(addresses []string, do func(address string)) {
	if v.options.Parallel == 1 {
		for _, address := range addresses {
			do(address)
		}
		return
	}
	slots := make(chan struct{}, v.options.Parallel)
	var calls sync.WaitGroup
	for _, address := range addresses {
		slots <- struct{}{}
		calls.Add(1)
		go func() {
			defer calls.Done()
			defer func() { <-slots }()
			do(address)
		}()
	}
	calls.Wait()
}
