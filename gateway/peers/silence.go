package peers

import (
	"slices"
	"time"
)

// pauseThreshold is the time between two ticks above which this process counts as
// paused. It received nothing meanwhile, so that others seem silent.
const pauseThreshold = 500 * time.Millisecond

// Watch makes this process exchange states with VMs regularly, in addition to those that
// it would call anyway, until the next call.
func (c *Cluster) Watch(vms map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = vms
}

// SilentFor returns how long a VM has sent nothing although this process called it, and
// 0 if this process does not call it. The time does not count in which this process was
// paused itself.
func (c *Cluster) SilentFor(vm string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.members[vm]
	if !ok || p.calledSince.IsZero() {
		return 0
	}
	since := p.lastSeen
	for _, t := range []time.Time{p.calledSince, c.resumedAt} {
		if t.After(since) {
			since = t
		}
	}
	return c.Now().Sub(since)
}

// notePause records that this process was paused if two ticks are too far apart.
func (c *Cluster) notePause(lastTick, now time.Time) {
	if now.Sub(lastTick) < pauseThreshold {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumedAt = now
}

// markCalled records which members this process calls regularly. c.mu must be held.
func (c *Cluster) markCalled(now time.Time, local, remote []*peer) {
	called := make(map[*peer]bool, len(local)+len(remote))
	for _, p := range slices.Concat(local, remote) {
		called[p] = true
		if p.calledSince.IsZero() {
			p.calledSince = now
		}
	}
	for _, p := range c.members {
		if !called[p] {
			p.calledSince = time.Time{}
		}
	}
}
