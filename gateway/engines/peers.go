package engines

import "flamingospar.org/core/placement"

// maxUses bounds the prompts kept for other processes.
const maxUses = 512

// Use is a prompt that an engine was sent, without its last part, which no
// other prompt shares.
type Use struct {
	Endpoint string
	Parts    []placement.Part
}

// uses is the list of the latest prompts, for other processes.
type uses struct {
	list  []Use
	first int            // Number of the first of the list.
	told  map[string]int // Number after the last that a process was told.
}

func (u *uses) add(endpoint string, parts []placement.Part) {
	if len(parts) < 2 {
		return
	}
	u.list = append(u.list, Use{Endpoint: endpoint, Parts: parts[:len(parts)-1]})
	if over := len(u.list) - maxUses; over > 0 {
		u.list = append([]Use(nil), u.list[over:]...)
		u.first += over
	}
}

// since returns what a process was not told yet.
func (u *uses) since(peer string) []Use {
	from := max(u.told[peer]-u.first, 0)
	u.told[peer] = u.first + len(u.list)
	return u.list[from:]
}

// Uses returns the prompts that another process was not told of yet.
func (l *Ledger) Uses(peer string) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Use(nil), l.uses.since(peer)...)
}

// SetUses takes the prompts that another process tells of.
func (l *Ledger) SetUses(told []Use) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, use := range told {
		if engine, ok := l.models[use.Endpoint]; ok {
			engine.MarkCached(use.Parts)
		}
	}
}

// Load is what one process has sent to an engine.
type Load struct {
	Endpoint string
	Unread   []placement.PendingPrompt
	Streams  placement.Streams
}

// Loads returns what this process has sent, for other processes.
func (l *Ledger) Loads() []Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	var loads []Load
	for id, engine := range l.models {
		load := Load{Endpoint: id, Unread: engine.PendingPrompts(now), Streams: engine.Streams()}
		if load.Streams.Running > 0 || len(load.Unread) > 0 {
			loads = append(loads, load)
		}
	}
	return loads
}

// SetRemote takes the loads that another process tells; engines that it does
// not name have nothing of it.
func (l *Ledger) SetRemote(peer string, loads []Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.heard[peer] = now
	named := make(map[string]bool, len(loads))
	for _, load := range loads {
		if engine, ok := l.models[load.Endpoint]; ok {
			named[load.Endpoint] = true
			engine.SetPeer(now, peer, load.Unread, load.Streams)
		}
	}
	for id, engine := range l.models {
		if !named[id] {
			engine.DropPeer(peer)
		}
	}
}

// DropPeer forgets what another process told.
func (l *Ledger) DropPeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.heard, peer)
	for _, engine := range l.models {
		engine.DropPeer(peer)
	}
}
