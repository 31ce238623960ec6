// Package crashmarks refuses requests that were running at two crashes of
// endpoints and lets at most one suspect, a request that was running at one
// crash, run at a time. Whatever entry a caller turns to, its request comes to
// an agent, so the refusal stands here.
package crashmarks

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/crash"
	"flamingospar.org/core/refusal"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Filter is the filter and the service that exchanges marks with entries.
type Filter struct {
	suspect chan struct{} // Holds an item while a suspect runs.

	mu   sync.Mutex
	book *crash.MarkSet
	runs map[*pipeline.Run]struct{} // Suspects admitted.
}

// New returns a filter that knows no marks.
func New() *Filter {
	return &Filter{suspect: make(chan struct{}, 1), book: crash.NewMarkSet(), runs: make(map[*pipeline.Run]struct{})}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "crashmarks" }

// Admit implements pipeline.Filter. A suspect waits until no other one runs.
func (f *Filter) Admit(ctx context.Context, run *pipeline.Run) *refusal.Refusal {
	suspect, refused := f.check(run)
	if refused != nil || !suspect {
		return refused
	}
	select {
	case f.suspect <- struct{}{}:
	case <-ctx.Done():
		return refusal.New(refusal.DeadlineExceeded, "run %s waited for another suspect until it was cancelled or its deadline came", run.Start.RunId)
	}
	// What the other suspect did may have settled the matter.
	if _, refused := f.check(run); refused != nil {
		<-f.suspect
		return refused
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[run] = struct{}{}
	return nil
}

func (f *Filter) check(run *pipeline.Run) (suspect bool, refused *refusal.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	mark := f.book.Mark(crash.Fingerprint(run.Start.Fingerprint))
	if mark.Refused(now) {
		return false, refusal.New(refusal.RequestCrashes, "endpoints crashed %d times while they ran this request", mark.Count(now))
	}
	return run.Start.Suspect || mark.Suspect(now), nil
}

// Done implements pipeline.Filter.
func (f *Filter) Done(run *pipeline.Run) {
	f.mu.Lock()
	_, suspect := f.runs[run]
	delete(f.runs, run)
	f.mu.Unlock()
	if suspect {
		<-f.suspect
	}
}

// Crashed records that the run was on the endpoint at a crash.
func (f *Filter) Crashed(run *pipeline.Run, crashID string) {
	if run.Start.Fingerprint == "" {
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Merge(crash.New(crash.Fingerprint(run.Start.Fingerprint), run.Start.Team, crashID, now), now)
}

// Exchange implements the service: it merges the entry's marks and returns its own.
func (f *Filter) Exchange(_ context.Context, request *connect.Request[wirev1.CrashMarks]) (*connect.Response[wirev1.CrashMarks], error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mark := range request.Msg.Marks {
		f.book.Merge(crash.Mark{
			Fingerprint: crash.Fingerprint(mark.Fingerprint),
			Team:        mark.Team,
			Crashes:     mark.Crashes,
			Cleared:     mark.ClearedUnixMillis,
		}, now)
	}
	f.book.RemoveExpired(now)
	reply := new(wirev1.CrashMarks)
	for _, mark := range f.book.All() {
		reply.Marks = append(reply.Marks, &wirev1.CrashMark{
			Fingerprint:       string(mark.Fingerprint),
			Team:              mark.Team,
			Crashes:           mark.Crashes,
			ClearedUnixMillis: mark.Cleared,
		})
	}
	return connect.NewResponse(reply), nil
}
