package duties

import (
	"sync"
	"time"
)

// Handover keeps the processes of two VMs from acting by turns: one that acted,
// gave the lease up and has it again waits until what it did before is long ago.
// Not all receivers check fencing tokens, and to these a holder that is back at
// once looks like two that both believe they are in charge.
//
// A process does not know what its VM's former process did, so it takes its own
// start for that one's last act. A nil Handover bounds nothing.
type Handover struct {
	span time.Duration // Between acts of one VM that another's may lie between.
	now  func() time.Time

	mu   sync.Mutex
	term int64 // Under which it acted last, 0 for that of the VM's former process.
	last time.Time
}

// NewHandover returns the state of a process that starts now. The clock must
// count the time in which the VM is suspended.
func NewHandover(span time.Duration, now func() time.Time) *Handover {
	return &Handover{span: span, now: now, last: now()}
}

// May reports whether the process may act under a term.
func (h *Handover) May(term int64) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return term == h.term || h.now().Sub(h.last) >= h.span
}

// Acts notes that the process is about to act under a term.
func (h *Handover) Acts(term int64) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term, h.last = term, h.now()
}
