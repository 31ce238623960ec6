package server

import (
	"context"
	"sync"

	"flamingospar.org/agent/pipeline"
)

// runs are the runs in the agent.
type runs struct {
	mu     sync.Mutex
	active map[*pipeline.Run]context.CancelCauseFunc
	ended  *sync.Cond
}

func newRuns() *runs {
	r := &runs{active: make(map[*pipeline.Run]context.CancelCauseFunc)}
	r.ended = sync.NewCond(&r.mu)
	return r
}

func (r *runs) add(run *pipeline.Run, cancel context.CancelCauseFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active[run] = cancel
}

func (r *runs) remove(run *pipeline.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.active, run)
	r.ended.Broadcast()
}

// handOver withdraws the runs that have not begun, so that their entries send
// them elsewhere, and returns how many there were.
func (r *runs) handOver() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	withdrawn := 0
	for run, cancel := range r.active {
		if run.Withdraw() {
			cancel(errLeaving)
			withdrawn++
		}
	}
	return withdrawn
}

// wait returns when no run is active.
func (r *runs) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.active) > 0 {
		r.ended.Wait()
	}
}
