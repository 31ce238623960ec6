package memnet

import "sync"

// Host is one process's view of the network under a host name. A process that
// starts after a kill takes a new Host of the same name.
type Host struct {
	network *Network
	name    string
	dead    bool // Guarded by network.mu.

	mu      sync.Mutex
	resumed chan struct{} // Not nil while paused; closed on resume.
}

// Kill ends the process: its connections and listeners break, and nothing that
// is left of it reaches the network again.
func (h *Host) Kill() {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.dead = true
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
	h.wake()
}

// Pause stops the process's traffic until Resume: it reads nothing, what it
// writes stays unsent, and its dials wait. Its timers run on, as for a process
// that finds them expired when it wakes. Writes do not block, since a goroutine
// that holds a mutex meanwhile would stop a test's virtual time.
func (h *Host) Pause() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.resumed == nil {
		h.resumed = make(chan struct{})
	}
}

// Resume ends a pause.
func (h *Host) Resume() {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.wake()
	for c := range n.conns {
		if c.host == h {
			c.in.wake()
			c.out.wake()
		}
	}
}

func (h *Host) wake() {
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

func (h *Host) awaitResume() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}
