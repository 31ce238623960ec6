package placement

import (
	"hash/fnv"
	"time"
)

// affinityDiscount is the share of the prefill time of a shared prefix that is
// expected to be saved later when the prefix is processed by its local affinity
// engine.
const affinityDiscount = 0.5

// rendezvousEngine selects the prefill engine for a prompt prefix by rendezvous
// hashing, so that all processes choose the same one without coordination. An
// empty dataCentre allows engines of all data centres. It returns nil if no
// engine is eligible.
func rendezvousEngine(prefix, dataCentre string, engines []*Engine) *Engine {
	var best *Engine
	var bestScore uint64
	for _, engine := range engines {
		if engine.Stage != Prefill || engine.Draining || engine.Statement.IsLeaving() || (dataCentre != "" && engine.DataCentre != dataCentre) {
			continue
		}
		if score := rendezvousScore(engine.ID, prefix); best == nil || score > bestScore {
			best, bestScore = engine, score
		}
	}
	return best
}

func rendezvousScore(engine, key string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(engine)) // Writes to a hash never fail.
	hash.Write([]byte(key))
	return fmix64(hash.Sum64())
}

// fmix64 is the 64-bit finalizer of MurmurHash3. FNV alone spreads the last bytes
// of its input over too few bits of the hash.
func fmix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sharedPrefix returns the ID of the last part of the prompt that other prompts
// may share, and the number of tokens up to its end. The ID is empty if the prefix
// is too short to be worth a transfer.
func (p Prompt) sharedPrefix() (string, int) {
	if len(p.Parts) < 2 {
		return "", 0
	}
	parts := p.Parts[:len(p.Parts)-1]
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	if tokens < minFetchTokens {
		return "", 0
	}
	return parts[len(parts)-1].ID, tokens
}

// affinity holds the engines that are expected to have the shared prefix of a
// prompt cached.
type affinity struct {
	local  *Engine // In the data centre of this process; nil for none.
	any    *Engine // In any data centre; nil for none.
	tokens int     // Length of the shared prefix.
}

func affinityOf(request Request, engines []*Engine) affinity {
	key, tokens := request.Prompt.sharedPrefix()
	if key == "" {
		return affinity{}
	}
	return affinity{local: rendezvousEngine(key, request.LocalDataCentre, engines), any: rendezvousEngine(key, "", engines), tokens: tokens}
}

// usable omits engines that are resting after failures.
func (a affinity) usable(now time.Time) affinity {
	if a.local != nil && a.local.Health.Ejected(now) {
		a.local = nil
	}
	if a.any != nil && a.any.Health.Ejected(now) {
		a.any = nil
	}
	return a
}

// ofVersion omits engines of other software versions.
func (a affinity) ofVersion(version string) affinity {
	if a.local != nil && a.local.Version != version {
		a.local = nil
	}
	if a.any != nil && a.any.Version != version {
		a.any = nil
	}
	return a
}
