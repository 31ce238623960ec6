// Package rendezvous selects the processes that a process connects to.
// Rendezvous hashing over a list gives each process a small, evenly distributed
// subset, which changes little when the list changes.
package rendezvous

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Rank returns nodes sorted by descending rendezvous score for key. All processes
// compute the same order.
func Rank(key string, nodes []string) []string {
	type scoredNode struct {
		node  string
		score uint64
	}
	all := make([]scoredNode, len(nodes))
	for i, node := range nodes {
		all[i] = scoredNode{node: node, score: Score(key, node)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].node < all[j].node
	})
	ranked := make([]string, len(all))
	for i, scored := range all {
		ranked[i] = scored.node
	}
	return ranked
}

// Score returns the rendezvous score of node for key.
func Score(key, node string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(node)
	return digest.Sum64()
}

// Chosen reports whether node is among the first count nodes of the ranking for
// key.
func Chosen(key, node string, nodes []string, count int) bool {
	own := Score(key, node)
	ahead := 0
	for _, other := range nodes {
		score := Score(key, other)
		if score > own || (score == own && other < node) {
			ahead++
		}
		if ahead >= count {
			return false
		}
	}
	return true
}
