package peers

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// partners returns the processes that this one exchanges with: those of its
// data centre, and a few of others. In a larger fleet each takes the ones that
// follow it on a circle of names, so that all are told of by some.
func (c *Circle) partners() []*peer {
	var near, far []*peer
	for _, p := range c.members {
		if p.DataCentre == c.self.DataCentre {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return append(c.nextOnCircle(near, maxNear), c.nextOnCircle(far, maxFar)...)
}

func (c *Circle) nextOnCircle(peers []*peer, most int) []*peer {
	self := place(c.self.VM)
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Compare(place(a.VM)-self, place(b.VM)-self) // Unsigned: distances wrap around.
	})
	return peers[:min(len(peers), most)]
}

func place(vm string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(vm)) // A hash takes every write.
	return hash.Sum64()
}

// AmongFirst reports whether this process is one of the first n of the fleet,
// by an order that all compute alike.
func (c *Circle) AmongFirst(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	self := place(c.self.VM)
	before := 0
	for vm, p := range c.members {
		if p.failures == 0 && place(vm) < self {
			before++
		}
	}
	return before < n
}
