package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// exchangeTargets returns the processes that this one calls, in its own data
// centre and in others, the watched ones included. An exchange updates both
// sides, so it is enough that each process calls the half of the others that
// follows it on a hash ring: all pairs then exchange. In a larger fleet the
// number of targets is bounded, and each process is still called by some others.
func (c *Cluster) exchangeTargets() (local, remote []*peer) {
	local, remote = c.groups()
	return c.withWatched(c.successors(local, maxLocalTargets), local), c.withWatched(c.successors(remote, maxRemoteTargets), remote)
}

// groups returns the other processes of this data centre and those of others.
func (c *Cluster) groups() (local, remote []*peer) {
	for _, p := range c.members {
		if p.DataCentre == c.self.DataCentre {
			local = append(local, p)
		} else {
			remote = append(remote, p)
		}
	}
	return local, remote
}

// withWatched adds the watched peers that are missing from targets, which are the first
// of peers.
func (c *Cluster) withWatched(targets, peers []*peer) []*peer {
	for _, p := range peers[len(targets):] {
		if c.watched[p.VM] {
			targets = append(targets[:len(targets):len(targets)], p)
		}
	}
	return targets
}

// successors returns the half of peers that follows this process on the hash
// ring, up to limit.
func (c *Cluster) successors(peers []*peer, limit int) []*peer {
	self := ringPosition(c.self.VM)
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Compare(ringPosition(a.VM)-self, ringPosition(b.VM)-self) // Unsigned: distances wrap around.
	})
	return peers[:min((len(peers)+1)/2, limit)]
}

func ringPosition(vm string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(vm)) // Never returns an error.
	return hash.Sum64()
}

// livenessTimeout is how long a process counts as alive after its last message.
// It spans several exchanges with a process of another data centre.
const livenessTimeout = 4 * time.Second

// AmongFirst reports whether this process is among the first n processes that are
// alive and can reach the store. A process that can't reach it counts the others that can't
// either, so that in an outage of the store only the first n look for its end often. All
// processes order the fleet by ring position.
// In a larger fleet, where a process does not receive messages from all others, a few more
// than n processes consider themselves among the first.
func (c *Cluster) AmongFirst(n int) bool {
	storeLost := c.localState.StoreLost()
	c.mu.Lock()
	defer c.mu.Unlock()
	self := ringPosition(c.self.VM)
	preceding := 0
	for vm, p := range c.members {
		if c.Now().Sub(p.lastSeen) < livenessTimeout && (storeLost || !p.storeLost) && ringPosition(vm) < self {
			preceding++
		}
	}
	return preceding < n
}
