package crashes

import (
	"hash/maphash"

	"flamingospar.org/core/blame"
	"flamingospar.org/core/crash"
)

// Request is what a request is recognised by.
type Request struct {
	Team  string
	Path  string
	Query string // Without the question mark; empty if there is none.
	Body  []byte
	Parts []string // Of its prompt that other requests may share.
}

// target returns the path with the query.
func (r Request) target() string { return r.Path + "?" + r.Query }

// run returns the request as blame knows it, with the parts of its prompt. A request that crashes
// endpoints comes again with the same path and body, but maybe not the same query; sound ones may
// differ from it in the query alone. So it is known by both, with and without the query.
func (r Request) run() blame.Run {
	run := blame.Run{Team: r.Team, Parts: r.Parts}
	run.Requests = append(run.Requests, blame.RequestKey(string(crash.FingerprintOf(r.Team, r.Path, r.Body))))
	if r.Query != "" {
		run.Requests = append(run.Requests, blame.TargetKey(string(crash.FingerprintOf(r.Team, r.target(), r.Body))))
	}
	return run
}

// hashes returns cheaper names of the request that only this process knows, in the order of the
// keys of run.
func (r Request) hashes(seed maphash.Seed) []uint64 {
	hashes := []uint64{hashOf(seed, r.Team, r.Path, r.Body)}
	if r.Query != "" {
		hashes = append(hashes, hashOf(seed, r.Team, r.target(), r.Body))
	}
	return hashes
}

func hashOf(seed maphash.Seed, team, path string, body []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	_, _ = h.WriteString(team) // Never fails, nor do the others.
	_ = h.WriteByte(0)
	_, _ = h.WriteString(path)
	_ = h.WriteByte(0)
	_, _ = h.Write(body)
	return h.Sum64()
}
