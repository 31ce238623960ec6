package configview

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/config"
)

const (
	spreadEvery = 500 * time.Millisecond
	// awaitLimit bounds how long an operator waits for a change to be in force.
	awaitLimit = 2 * config.EntryMaxStaleness
)

// Standing tells how far a change has come.
type Standing struct {
	Acknowledged int  `json:"acknowledged"` // Entries that hold it, this one included.
	Listed       int  `json:"listed"`       // Entries in the list of VMs.
	InForce      bool `json:"in_force"`     // No entry acts on an older revision.
}

// AwaitInForce spreads a revision until no entry can act on an older one, or
// until a limit. All listed entries hold it, or a majority does and the rest
// has passed its freshness limit since.
func (v *View) AwaitInForce(ctx context.Context, revision config.Revision) Standing {
	ctx, cancel := context.WithTimeout(ctx, awaitLimit)
	defer cancel()
	for {
		standing := v.Spread(ctx, revision)
		if standing.Acknowledged == standing.Listed {
			standing.InForce = true
			return standing
		}
		if 2*standing.Acknowledged > standing.Listed {
			standing.InForce = clock.Sleep(ctx, config.EntryMaxStaleness)
			return standing
		}
		if !clock.Sleep(ctx, spreadEvery) {
			return standing
		}
	}
}

// Spread passes what is held to all listed entries in two rounds and counts
// those that acknowledged the revision in both without a restart in between:
// at the end of the first round, all of them hold it at the same moment.
func (v *View) Spread(ctx context.Context, revision config.Revision) Standing {
	others := v.options.Peers.Others()
	first := v.round(others, func(address string) (Answer, bool) { return v.pass(ctx, address, revision) })
	second := v.round(others, func(address string) (Answer, bool) {
		if _, acknowledged := first[address]; !acknowledged {
			return Answer{}, false
		}
		return v.confirm(ctx, address, revision)
	})
	standing := Standing{Listed: len(others) + 1}
	if v.heldOrEmpty().Revision >= revision && v.remembers() {
		standing.Acknowledged++
	}
	for address, answer := range second {
		if answer.Instance == first[address].Instance {
			standing.Acknowledged++
		}
	}
	return standing
}

func (v *View) remembers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshness.Remembers()
}

// round asks all addresses and returns the answers of those that acknowledged.
func (v *View) round(addresses []string, ask func(address string) (Answer, bool)) map[string]Answer {
	var mu sync.Mutex
	acknowledged := make(map[string]Answer)
	v.each(addresses, func(address string) {
		answer, ok := ask(address)
		if !ok {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		acknowledged[address] = answer
	})
	return acknowledged
}

// pass sends the newest change, and after a look at the answer all that the
// peer lacks.
func (v *View) pass(ctx context.Context, address string, revision config.Revision) (Answer, bool) {
	after := revision - 1
	for range 2 {
		answer, err := v.exchange(ctx, address, v.questionAfter(after))
		if err != nil {
			return Answer{}, false
		}
		if answer.Revision >= revision {
			return answer, answer.Remembers
		}
		after = answer.Revision
	}
	return Answer{}, false
}

func (v *View) questionAfter(revision config.Revision) Question {
	v.mu.Lock()
	defer v.mu.Unlock()
	changes, _ := v.after(revision)
	return Question{Revision: v.heldOrEmpty().Revision, Changes: changes}
}

func (v *View) confirm(ctx context.Context, address string, revision config.Revision) (Answer, bool) {
	question := Question{Revision: v.heldOrEmpty().Revision, OnlyCompare: true}
	answer, err := v.exchange(ctx, address, question)
	return answer, err == nil && answer.Remembers && answer.Revision >= revision
}
