package placement

import "hash/fnv"

// homeShare is the part of the time to read a prompt's shared parts that
// reading them at their home saves later.
const homeShare = 0.5

// home returns the engine that all processes, without asking each other, take
// for the one that holds a prompt's shared parts: the one with the highest hash
// of both. dataCentre bounds the choice; empty for all. nil when there is none.
func home(key, dataCentre string, engines []*Engine) *Engine {
	var best *Engine
	var highest uint64
	for _, engine := range engines {
		if engine.Stage != Prefill || engine.Draining || (dataCentre != "" && engine.DataCentre != dataCentre) {
			continue
		}
		if at := weight(engine.ID, key); best == nil || at > highest {
			best, highest = engine, at
		}
	}
	return best
}

func weight(engine, key string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(engine)) // A hash takes every write.
	hash.Write([]byte(key))
	return mix(hash.Sum64())
}

// mix spreads the last bytes over the whole hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// shared returns the parts of a prompt that others may share, and their tokens.
func (p Prompt) shared() ([]Part, int) {
	if len(p.Parts) < 2 {
		return nil, 0
	}
	parts := p.Parts[:len(p.Parts)-1]
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	return parts, tokens
}

// homes are the homes of a prompt's shared parts.
type homes struct {
	near   *Engine // In the data centre of this process.
	any    *Engine
	tokens int // Of the shared parts.
}

func homesOf(request Request, engines []*Engine) homes {
	parts, tokens := request.Prompt.shared()
	if tokens < minFetch {
		return homes{}
	}
	key := parts[len(parts)-1].ID
	return homes{near: home(key, request.Home, engines), any: home(key, "", engines), tokens: tokens}
}
