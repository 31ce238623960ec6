package peers

import (
	"slices"
	"time"
)

// pauseThreshold is the time between two ticks above which this process counts as
// paused. It received nothing meanwhile, so that others seem silent.
const pauseThreshold = 500 * time.Millisecond

const (
	// missedExchanges is the number of intervals between exchanges without one after which a
	// process counts as not heard.
	missedExchanges = 2
	// assumedSize is the number of processes that a process assumes which has not read their
	// list and knows no other.
	assumedSize = 4
)

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
	return c.Now().Sub(latest(p.lastSeen, p.calledSince, c.resumedAt))
}

// latest returns the latest of several times.
func latest(times ...time.Time) time.Time {
	return slices.MaxFunc(times, time.Time.Compare)
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

// HeardShare returns the part of the listed processes, this one included, that this process
// hears, estimated from those that it exchanges states with. A process counts as not heard
// after a silence of timeout, or of missedExchanges intervals if it exchanges states with this
// one more rarely. Before any other process is known, the part is that of one in assumedSize.
func (c *Cluster) HeardShare(timeout time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.members) == 0 && !c.listLoaded {
		return 1.0 / assumedSize
	}
	heard, partners := c.countHeard(timeout)
	if partners == 0 {
		return 1
	}
	others := float64(len(c.members))
	return (1 + others*float64(heard)/float64(partners)) / (1 + others)
}

// countHeard returns how many processes this one exchanges states with, and how many of them
// it hears. c.mu must be held.
func (c *Cluster) countHeard(timeout time.Duration) (heard, partners int) {
	now := c.Now()
	local, remote := c.groups()
	for _, group := range []struct {
		peers      []*peer
		maxTargets int
		maxSilence time.Duration
	}{{local, maxLocalTargets, timeout}, {remote, maxRemoteTargets, max(timeout, missedExchanges*c.remoteInterval(len(remote)))}} {
		all := (len(group.peers)+1)/2 <= group.maxTargets // Each calls the other, or is called by it.
		for _, p := range group.peers {
			if !all && p.calledSince.IsZero() {
				continue
			}
			partners++
			if now.Sub(latest(p.lastSeen, p.calledSince, c.resumedAt)) <= group.maxSilence {
				heard++
			}
		}
	}
	return heard, partners
}

// remoteInterval returns the time between two exchanges with a process in another data centre,
// for a number of processes there. Others wait about as long before they call this one.
func (c *Cluster) remoteInterval(remote int) time.Duration {
	return max(minRemoteInterval, time.Duration(min((remote+1)/2, maxRemoteTargets))*remoteIntervalPerTarget)
}
