package route

import (
	"hash/fnv"
	"sort"
)

// Bounds of what one decision looks at.
const (
	lookAll     = 24 // A pool up to this size is looked at as a whole.
	homeWindow  = 4  // Candidates that a prefix may call home.
	lookAtRest  = 8  // Random candidates beside them.
	homesWanted = 2  // Of the window, those where the prefix is expected.
)

// HashOf returns the hash of an endpoint's id, by which pools are ordered.
func HashOf(endpoint string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(endpoint))
	return mix(hash.Sum64())
}

// eachLooked calls look with the index of each candidate to look at.
func eachLooked(r Request, pool Pool, look func(i int)) {
	n := pool.Len()
	if n <= lookAll {
		for i := range n {
			look(i)
		}
		return
	}
	if r.Prefix != 0 {
		start := homeStart(r.Prefix, pool)
		for i := range homeWindow {
			look((start + i) % n)
		}
	}
	state := r.Seed
	for range lookAtRest {
		state = mix(state + 1)
		look(int(state % uint64(n)))
	}
}

// homes are the endpoints where a prefix is expected to be cached.
type homes [homesWanted]string

func (h homes) has(endpoint string) bool {
	for _, home := range h {
		if home != "" && home == endpoint {
			return true
		}
	}
	return false
}

// homesOf returns the endpoints with the highest rendezvous weight for the
// request's prefix: among all of a small pool, else within a window of the
// pool's ring of hashes. An overloaded home loses by its load, so that a hot
// prefix spreads no further than it must.
func homesOf(r Request, pool Pool) homes {
	var found homes
	if r.Prefix == 0 || r.PrefixTokens == 0 {
		return found
	}
	n := pool.Len()
	start, window := 0, n
	if n > lookAll {
		start, window = homeStart(r.Prefix, pool), homeWindow
	}
	var weights [homesWanted]uint64
	for i := range window {
		candidate := pool.At((start + i) % n)
		if !candidate.Ready || candidate.Kind != r.Kind || (r.Model != "" && candidate.Model != r.Model) {
			continue
		}
		insertHome(&found, &weights, candidate.Endpoint, mix(r.Prefix^candidate.Hash))
	}
	return found
}

func insertHome(found *homes, weights *[homesWanted]uint64, endpoint string, weight uint64) {
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

// homeStart returns the index of the first candidate at or after the prefix on
// the ring of hashes.
func homeStart(prefix uint64, pool Pool) int {
	n := pool.Len()
	at := sort.Search(n, func(i int) bool { return pool.At(i).Hash >= mix(prefix) })
	return at % n
}

// mix spreads the bits of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
