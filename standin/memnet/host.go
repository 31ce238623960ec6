package memnet

import "sync"

// Host is the network as seen by one process under a host name. A process that is
// started after Kill uses a new Host with the same name.
type Host struct {
	network *Network
	name    string
	killed  bool // Guarded by network.mu.

	mu      sync.Mutex
	resumed chan struct{} // Not nil while paused; closed by unpause.
}

// Kill simulates the end of the process: it breaks its connections and listeners,
// and goroutines of the process that still run can't use the network any more.
func (h *Host) Kill() {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.killed = true
	for address, l := range n.listeners {
		if l.host == h {
			l.closeOnce()
			delete(n.listeners, address)
		}
	}
	for c := range n.conns {
		if c.host == h {
			c.fail(ErrUnreachable)
		}
	}
	h.unpause()
}

// Pause stops the process's traffic until Resume: reads return no data, written
// data is not delivered, and dials wait. Its timers keep running, as those of a
// suspended process have expired when it continues. Writes do not block, because
// goroutines that wait for a mutex held by a blocked writer would stop the virtual
// time of a test.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
}

// Resume ends a pause and wakes the goroutines that wait for data.
func (h *Host) Resume() {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.unpause()
	for c := range n.conns {
		if c.host == h {
			c.in.wake()
			c.out.wake()
		}
	}
}

func (h *Host) unpause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed != nil {
		close(h.resumed)
		h.resumed = nil
	}
}

func (h *Host) paused() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.resumed != nil
}

func (h *Host) waitForResume() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}
