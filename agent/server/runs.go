package server

import (
	"context"
	"sync"

	"flamingospar.org/agent/pipeline"
)

// runRegistry holds the active runs of the agent.
type runRegistry struct {
	mu     sync.Mutex
	active map[*pipeline.Run]context.CancelCauseFunc
	ended  *sync.Cond
}

func newRunRegistry() *runRegistry {
	r := &runRegistry{active: make(map[*pipeline.Run]context.CancelCauseFunc)}
	r.ended = sync.NewCond(&r.mu)
	return r
}

func (r *runRegistry) add(run *pipeline.Run, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[run] = cancel
}

func (r *runRegistry) remove(run *pipeline.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, run)
	r.ended.Broadcast()
}

// withdrawQueued withdraws the runs that have not left the queue, so that their
// entries send them to other endpoints, and returns their number.
func (r *runRegistry) withdrawQueued() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	withdrawn := 0
	for run, cancel := range r.active {
		if run.Withdraw() {
			cancel(errDraining)
			withdrawn++
		}
	}
	return withdrawn
}

// wait blocks until no run is active.
func (r *runRegistry) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.active) > 0 {
		r.ended.Wait()
	}
}
