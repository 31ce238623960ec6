// Package crashmarks refuses requests that were running at two endpoint crashes.
// A request that was running at one crash is a suspect; at most one suspect runs
// at a time. The agent enforces this because every request reaches an agent,
// whichever entry receives it.
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

// Filter is the pipeline filter and the RPC service that exchanges crash marks
// with entries.
type Filter struct {
	suspectSlot chan struct{} // Semaphore; holds an item while a suspect runs.

	mu       sync.Mutex
	marks    *crash.MarkSet
	suspects map[*pipeline.Run]struct{} // Admitted suspects.
}

// New returns a filter without marks.
func New() *Filter {
	return &Filter{suspectSlot: make(chan struct{}, 1), marks: crash.NewMarkSet(), suspects: make(map[*pipeline.Run]struct{})}
}

func (f *Filter) Name() string { return "crashmarks" }

// Admit implements pipeline.Filter. A suspect waits until no other suspect runs.
func (f *Filter) Admit(ctx context.Context, run *pipeline.Run) *refusal.Refusal {
	suspect, refused := f.check(run)
	if refused != nil || !suspect {
		return refused
	}
	select {
	case f.suspectSlot <- struct{}{}:
	case <-ctx.Done():
		return refusal.New(refusal.DeadlineExceeded, "run %s waited for another suspect until it was cancelled or its deadline came", run.Start.RunId)
	}
	// The other suspect may have crashed the endpoint again, so check once more.
	if _, refused := f.check(run); refused != nil {
		<-f.suspectSlot
		return refused
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspects[run] = struct{}{}
	return nil
}

func (f *Filter) check(run *pipeline.Run) (suspect bool, refused *refusal.Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	mark := f.marks.Mark(crash.Fingerprint(run.Start.Fingerprint))
	if mark.Refused(now) {
		return false, refusal.New(refusal.RequestCrashes, "endpoints crashed %d times while they ran this request", mark.Count(now))
	}
	return run.Start.Suspect || mark.Suspect(now), nil
}

func (f *Filter) Done(run *pipeline.Run) {
	f.mu.Lock()
	_, suspect := f.suspects[run]
	delete(f.suspects, run)
	f.mu.Unlock()
	if suspect {
		<-f.suspectSlot
	}
}

// RecordCrash records that the run was on the endpoint when it crashed.
func (f *Filter) RecordCrash(run *pipeline.Run, crashID string) {
	if run.Start.Fingerprint == "" {
		return
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marks.Merge(crash.New(crash.Fingerprint(run.Start.Fingerprint), run.Start.Team, crashID, now), now)
}

// Exchange merges the entry's marks and returns the agent's own.
func (f *Filter) Exchange(_ context.Context, request *connect.Request[wirev1.CrashMarks]) (*connect.Response[wirev1.CrashMarks], error) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, mark := range request.Msg.Marks {
		f.marks.Merge(crash.Mark{
			Fingerprint: crash.Fingerprint(mark.Fingerprint),
			Team:        mark.Team,
			Crashes:     mark.Crashes,
			Cleared:     mark.ClearedUnixMillis,
		}, now)
	}
	f.marks.RemoveExpired(now)
	reply := new(wirev1.CrashMarks)
	for _, mark := range f.marks.All() {
		reply.Marks = append(reply.Marks, &wirev1.CrashMark{
			Fingerprint:       string(mark.Fingerprint),
			Team:              mark.Team,
			Crashes:           mark.Crashes,
			ClearedUnixMillis: mark.Cleared,
		})
	}
	return connect.NewResponse(reply), nil
}
