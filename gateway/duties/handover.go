package duties

import (
	"sync"
	"time"
)

// HandoverGuard prevents the duties from alternating between two VMs in quick
// succession: a process that acted, released the lease and acquired it again waits
// until minInterval has passed since its last action. Not all receivers check
// fencing tokens, and to those that don't, a holder that returns at once looks like
// two VMs that both act as the holder of the duties.
//
// A process does not know when the previous process of its VM last acted, so it
// uses its own start time instead. A nil HandoverGuard allows all actions.
type HandoverGuard struct {
	minInterval time.Duration // Minimum time between actions of this VM in different terms.
	now         func() time.Time

	mu         sync.Mutex
	lastTerm   int64 // Term of the last action; 0 stands for the VM's previous process.
	lastAction time.Time
}

// NewHandoverGuard returns the guard of a process that starts now. The clock must
// include the time during which the VM is suspended.
func NewHandoverGuard(minInterval time.Duration, now func() time.Time) *HandoverGuard {
	return &HandoverGuard{minInterval: minInterval, now: now, lastAction: now()}
}

// MayAct reports whether the process may act in a term.
func (g *HandoverGuard) MayAct(term int64) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return term == g.lastTerm || g.now().Sub(g.lastAction) >= g.minInterval
}

// RecordAction records that the process is about to act in a term.
func (g *HandoverGuard) RecordAction(term int64) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastTerm, g.lastAction = term, g.now()
}
