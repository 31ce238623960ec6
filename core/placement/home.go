package placement

import (
	"hash/fnv"
	"time"
)

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

// homeKey names the parts of a prompt that others may share, and returns their
// tokens; empty when there are too few.
func (p Prompt) homeKey() (string, int) {
	if len(p.Parts) < 2 {
		return "", 0
	}
	parts := p.Parts[:len(p.Parts)-1]
	tokens := 0
	for _, part := range parts {
		tokens += part.Tokens
	}
	if tokens < minFetch {
		return "", 0
	}
	return parts[len(parts)-1].ID, tokens
}

// homes are the homes of a prompt's shared parts.
type homes struct {
	near   *Engine // In the data centre of this process.
	any    *Engine
	tokens int // Of the shared parts.
}

func homesOf(request Request, engines []*Engine) homes {
	key, tokens := request.Prompt.homeKey()
	if key == "" {
		return homes{}
	}
	return homes{near: home(key, request.Home, engines), any: home(key, "", engines), tokens: tokens}
}

// usable returns the homes without those that are left alone now.
func (h homes) usable(now time.Time) homes {
	if h.near != nil && h.near.Health.Resting(now) {
		h.near = nil
	}
	if h.any != nil && h.any.Health.Resting(now) {
		h.any = nil
	}
	return h
}
