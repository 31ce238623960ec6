// Package crashmarks refuses requests that were running at two crashes of
// endpoints. Marks spread three ways, so that a store that is down delays none:
// to the agents at once, where they are enforced whichever entry a caller turns
// to; between entries through the agents; and through the table service, where
// operators list and clear them.
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
	// TellAll sends marks to all agents and returns when they have answered or
	// ctx has ended.
	TellAll(ctx context.Context, marks []crash.Mark)
	// Swap exchanges marks with one agent, another one at each call.
	Swap(ctx context.Context, marks []crash.Mark) ([]crash.Mark, error)
}

// Filter is the filter and the duty.
type Filter struct {
	peers  Peers
	tables tables.Service

	mu    sync.Mutex
	book  *crash.MarkSet
	dirty map[crash.Fingerprint]bool // Not yet written to the table.
}

// New returns a filter that knows no marks.
func New(peers Peers, service tables.Service) *Filter {
	return &Filter{peers: peers, tables: service, book: crash.NewMarkSet(), dirty: make(map[crash.Fingerprint]bool)}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "crashmarks" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.Fingerprint = crash.FingerprintOf(x.Team, x.Request.URL.Path, x.Body)
	return f.Refused(x.Fingerprint)
}

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// Refused returns the refusal of a request that is run no more, else nil.
func (f *Filter) Refused(fingerprint crash.Fingerprint) *refusal.Refusal {
	now := time.Now()
	mark := f.mark(fingerprint)
	if !mark.Refused(now) {
		return nil
	}
	return refusal.New(refusal.RequestCrashes, "endpoints crashed %d times while they ran this request", mark.Count(now))
}

// Suspect reports whether the request was running at a crash.
func (f *Filter) Suspect(fingerprint crash.Fingerprint) bool {
	return f.mark(fingerprint).Suspect(time.Now())
}

func (f *Filter) mark(fingerprint crash.Fingerprint) crash.Mark {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.book.Mark(fingerprint)
}

// Crashed records that the request was running at a crash. It returns when the
// agents know or tellTimeout has passed: the caller is answered after that, and
// may then turn to any entry.
func (f *Filter) Crashed(ctx context.Context, fingerprint crash.Fingerprint, team, crashID string) {
	mark := crash.New(fingerprint, team, crashID, time.Now())
	f.merge([]crash.Mark{mark}, true)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tellTimeout)
	defer cancel()
	f.peers.TellAll(ctx, []crash.Mark{f.mark(fingerprint)})
}

// Survived clears the mark of a suspect that ran to its end.
func (f *Filter) Survived(fingerprint crash.Fingerprint) {
	mark := f.mark(fingerprint)
	if mark.Fingerprint == "" {
		return
	}
	f.merge([]crash.Mark{mark.Clear(time.Now())}, true)
}

// merge takes marks in; durable marks are written to the table.
func (f *Filter) merge(marks []crash.Mark, durable bool) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mark := range marks {
		if f.book.Merge(mark, now) && durable {
			f.dirty[mark.Fingerprint] = true
		}
	}
}

// Marks returns the marks that count now.
func (f *Filter) Marks() []crash.Mark {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	var marks []crash.Mark
	for _, mark := range f.book.All() {
		if mark.Suspect(now) {
			marks = append(marks, mark)
		}
	}
	return marks
}

// Clear lets a request run again and reports whether it had a mark.
func (f *Filter) Clear(ctx context.Context, fingerprint crash.Fingerprint) bool {
	mark := f.mark(fingerprint)
	if !mark.Suspect(time.Now()) {
		return false
	}
	f.merge([]crash.Mark{mark.Clear(time.Now())}, true)
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	f.peers.TellAll(ctx, []crash.Mark{f.mark(fingerprint)})
	return true
}
