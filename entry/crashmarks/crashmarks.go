// Package crashmarks refuses requests that were running at two crashes of
// endpoints. Marks propagate in three ways, so that an outage of the store does
// not delay them: directly to all agents, which enforce them whichever entry a
// caller uses; between entries, through the agents; and through the table
// service, where operators list and clear them.
package crashmarks

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/crash"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
	"flamingospar.org/platform/tables"
)

var log = logging.For("entry/crashmarks")

// Peers are the agents with which marks are exchanged.
type Peers interface {
	// SendToAll sends marks to all agents and returns when they have answered or
	// ctx is done.
	SendToAll(ctx context.Context, marks []crash.Mark)
	// ExchangeWithOne exchanges marks with one agent, a different one at each call.
	ExchangeWithOne(ctx context.Context, marks []crash.Mark) ([]crash.Mark, error)
}

// Filter is the pipeline filter and the background task that propagates and stores
// marks.
type Filter struct {
	peers  Peers
	tables tables.Service

	mu      sync.Mutex
	markSet *crash.MarkSet
	dirty   map[crash.Fingerprint]bool // Not yet written to the table.
}

// New returns a filter without marks.
func New(peers Peers, service tables.Service) *Filter {
	return &Filter{peers: peers, tables: service, markSet: crash.NewMarkSet(), dirty: make(map[crash.Fingerprint]bool)}
}

func (f *Filter) Name() string { return "crashmarks" }

// Request sets x.Fingerprint and refuses a request that was running at too many
// crashes.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.Fingerprint = crash.FingerprintOf(x.Team, x.Request.URL.Path, x.Body)
	return f.Refused(x.Fingerprint)
}

func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Refused returns a refusal if the request was running at too many crashes, else
// nil.
func (f *Filter) Refused(fingerprint crash.Fingerprint) *refusal.Refusal {
	now := time.Now()
	mark := f.mark(fingerprint)
	if !mark.Refused(now) {
		return nil
	}
	return refusal.New(refusal.RequestCrashes, "endpoints crashed %d times while they ran this request", mark.Count(now))
}

// Suspect reports whether the request was running when an endpoint crashed.
func (f *Filter) Suspect(fingerprint crash.Fingerprint) bool {
	return f.mark(fingerprint).Suspect(time.Now())
}

func (f *Filter) mark(fingerprint crash.Fingerprint) crash.Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.markSet.Mark(fingerprint)
}

// RecordCrash records that the request was running at a crash. It returns when all
// agents have been notified or sendTimeout has passed. The caller receives its
// response only after that, since it may then send the request to any entry.
func (f *Filter) RecordCrash(ctx context.Context, fingerprint crash.Fingerprint, team, crashID string) {
	mark := crash.New(fingerprint, team, crashID, time.Now())
	f.merge([]crash.Mark{mark}, true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
	defer cancel()
	f.peers.SendToAll(ctx, []crash.Mark{f.mark(fingerprint)})
}

// Survived clears the mark of a suspect that ran to completion.
func (f *Filter) Survived(fingerprint crash.Fingerprint) {
	mark := f.mark(fingerprint)
	if mark.Fingerprint == "" {
		return
	}
	f.merge([]crash.Mark{mark.Clear(time.Now())}, true)
}

// merge merges marks into the set. If durable is set, the changed ones are queued
// for the table.
func (f *Filter) merge(marks []crash.Mark, durable bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mark := range marks {
		if f.markSet.Merge(mark, now) && durable {
			f.dirty[mark.Fingerprint] = true
		}
	}
}

// Marks returns the marks that count at least one crash now.
func (f *Filter) Marks() []crash.Mark {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var marks []crash.Mark
	for _, mark := range f.markSet.All() {
		if mark.Suspect(now) {
			marks = append(marks, mark)
		}
	}
	return marks
}

// Clear clears the mark of a request, so that it may run again, and reports whether
// it had one.
func (f *Filter) Clear(ctx context.Context, fingerprint crash.Fingerprint) bool {
	mark := f.mark(fingerprint)
	if !mark.Suspect(time.Now()) {
		return false
	}
	f.merge([]crash.Mark{mark.Clear(time.Now())}, true)
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	f.peers.SendToAll(ctx, []crash.Mark{f.mark(fingerprint)})
	return true
}
