package route

import (
	"hash/fnv"
	"sort"
)

// Limits on the candidates examined per decision, so that its cost does not grow
// with the pool.
const (
	fullScanLimit  = 24 // Pools up to this size are examined completely.
	affinityWindow = 4  // Candidates on the hash ring examined for prefix affinity.
	randomSamples  = 8  // Random candidates examined in addition.
	affinitySize   = 2  // Candidates expected to have a prefix cached.
)

// HashOf returns the hash of an endpoint ID, which is the sort key of a Pool.
func HashOf(endpoint string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(endpoint))
	return mix(hash.Sum64())
}

// forEachExamined calls visit with the index of each candidate to examine. An index
// can be visited more than once.
func forEachExamined(r Request, pool Pool, visit func(i int)) {
	n := pool.Len()
	if n <= fullScanLimit {
		for i := range n {
			visit(i)
		}
		return
	}
	if r.Prefix != 0 {
		start := ringStart(r.Prefix, pool)
		for i := range affinityWindow {
			visit((start + i) % n)
		}
	}
	state := r.Seed
	for range randomSamples {
		state = mix(state + 1)
		visit(int(state % uint64(n)))
	}
}

// affineEndpoints are the endpoints expected to have a prefix cached; unused
// elements are empty.
type affineEndpoints [affinitySize]string

func (a affineEndpoints) contains(endpoint string) bool {
	for _, known := range a {
		if known != "" && known == endpoint {
			return true
		}
	}
	return false
}

// affineEndpointsOf returns the endpoints with the highest rendezvous hash weights
// for the request's prefix, taken from the whole of a small pool or from a window
// of the hash ring. Load is not considered here: an overloaded endpoint is
// outweighed by the other costs, so a hot prefix spreads only as far as needed.
func affineEndpointsOf(r Request, pool Pool) affineEndpoints {
	var found affineEndpoints
	if r.Prefix == 0 || r.PrefixTokens == 0 {
		return found
	}
	n := pool.Len()
	start, window := 0, n
	if n > fullScanLimit {
		start, window = ringStart(r.Prefix, pool), affinityWindow
	}
	var weights [affinitySize]uint64
	for i := range window {
		candidate := pool.At((start + i) % n)
		if !candidate.Ready || candidate.Kind != r.Kind || (r.Model != "" && candidate.Model != r.Model) {
			continue
		}
		insertByWeight(&found, &weights, candidate.Endpoint, mix(r.Prefix^candidate.Hash))
	}
	return found
}

// insertByWeight inserts an endpoint into the list sorted by descending weight.
func insertByWeight(found *affineEndpoints, weights *[affinitySize]uint64, endpoint string, weight uint64) {
	for i := range found {
		if found[i] != "" && weights[i] >= weight {
			continue
		}
		copy(found[i+1:], found[i:])
		copy(weights[i+1:], weights[i:])
		found[i] = endpoint
		weights[i] = weight
		return
	}
}

// ringStart returns the index of the first candidate at or after the prefix's
// position on the hash ring, wrapping around at the end.
func ringStart(prefix uint64, pool Pool) int {
	n := pool.Len()
	at := sort.Search(n, func(i int) bool { return pool.At(i).Hash >= mix(prefix) })
	return at % n
}

// mix is the splitmix64 generator step: it adds the increment and applies the
// finalizer.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
