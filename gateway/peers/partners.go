package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// partners returns the processes that this one calls: of its data centre and of
// others. An exchange tells both sides, so each calls the half that follows it on
// a circle of names, and all pairs exchange; of a larger fleet fewer, so that all
// are told of by some.
func (c *Circle) partners() (near, far []*peer) {
	for _, p := range c.members {
		if p.DataCentre == c.self.DataCentre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return c.nextOnCircle(near, maxNear), c.nextOnCircle(far, maxFar)
}

func (c *Circle) nextOnCircle(peers []*peer, most int) []*peer {
	self := place(c.self.VM)
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Compare(place(a.VM)-self, place(b.VM)-self) // Unsigned: distances wrap around.
	})
	return peers[:min((len(peers)+1)/2, most)]
}

func place(vm string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(vm)) // A hash takes every write.
	return hash.Sum64()
}

// aliveFor is how long a process counts as alive after it was heard of: several
// exchanges with one of another data centre.
const aliveFor = 4 * time.Second

// AmongFirst reports whether this process is one of the first n that are alive
// and that the store answers, by an order that all compute alike. In a larger fleet, where one does not hear
// of all, a few more than n take themselves for that.
func (c *Circle) AmongFirst(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := place(c.self.VM)
	before := 0
	for vm, p := range c.members {
		if time.Since(p.heard) < aliveFor && !p.storeLost && place(vm) < self {
			before++
		}
	}
	return before < n
}
