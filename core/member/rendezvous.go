// Package member decides which processes talk to which: rendezvous hashing over
// a list gives each process a small, even subset that changes little when the
// list does.
package member

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns nodes ordered by their rendezvous weight for key, heaviest
// first. All processes compute the same order.
func Rank(key string, nodes []string) []string {
	type weighed struct {
		node   string
		weight uint64
	}
	all := make([]weighed, len(nodes))
	for i, node := range nodes {
		all[i] = weighed{node: node, weight: Weight(key, node)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].weight != all[j].weight {
			return all[i].weight > all[j].weight
		}
		return all[i].node < all[j].node
	})
	ranked := make([]string, len(all))
	for i, each := range all {
		ranked[i] = each.node
	}
	return ranked
}

// Weight returns the rendezvous weight of node for key.
func Weight(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Chosen reports whether node is among the first count of nodes for key.
func Chosen(key, node string, nodes []string, count int) bool {
	own := Weight(key, node)
	ahead := 0
	for _, other := range nodes {
		weight := Weight(key, other)
		if weight > own || (weight == own && other < node) {
			ahead++
		}
		if ahead >= count {
			return false
		}
	}
	return true
}
