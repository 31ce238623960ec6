// Package blame finds out which parts of prompts crash endpoints. An endpoint that
// crashes takes down the runs of many requests, so what runs at one crash proves
// little. A part is blamed once several crashes have no other explanation: no endpoint
// has answered a prompt with it in between, and no other part was in more of these
// crashes.
//
// Marks of several processes can be merged in any order and more than once.
package blame

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"
)

// Limits of marks.
const (
	// MinCrashes is the number of crashes from which on a part is blamed, and
	// MinCrashesAnswered the number for a part that was answered a short time ago: a part that everybody sends is then not blamed for what is sent with it.
	MinCrashes         = 3
	MinCrashesAnswered = 6
	// MaxMarks is the maximum number of marks in a Set.
	MaxMarks = 512
	// maxEvidence is the maximum number of crashes and teams that a mark keeps.
	maxEvidence = 16
	// maxPartsPerRun bounds the parts of one prompt that are marked at a crash.
	maxPartsPerRun = 64
	// maxPartBytes is the length above which a part is known by its hash.
	maxPartBytes = 64
	// maxAnswered bounds the parts that are known to have been answered.
	maxAnswered = 8192
)

// Times of marks.
const (
	// ProvenAfter is how long an endpoint has to answer a prompt until its parts are proven
	// not to crash endpoints. One that crashes as it begins an answer may have sent events
	// by then.
	ProvenAfter = 1 * time.Second
	// Retention is how long a crash counts.
	Retention = 24 * time.Hour
	// minRefusal and maxRefusal bound how long a blamed part is refused after the last
	// crash. In between it is refusalFactor times the time between the last two crashes,
	// so that a part whose refusal ended and that crashed again is refused for longer.
	minRefusal    = 1 * time.Minute
	maxRefusal    = 24 * time.Hour
	refusalFactor = 6
	// trialInterval is the least time between two requests with a part whose refusal has
	// ended, until an endpoint answers one.
	trialInterval = 10 * time.Second
)

// Crash identifies a crash by the start of the endpoint that it ended.
type Crash struct {
	Endpoint  string
	StartedMS int64 // Unix milliseconds, as the endpoint states.
}

// Run is what an endpoint was running when it crashed, and had not answered for ProvenAfter.
type Run struct {
	Team  string
	Parts []string // Of the prompt; anything else that identifies the request may be among them.
}

// Key returns the name by which a Set knows a part.
func Key(part string) string {
	if len(part) <= maxPartBytes {
		return part
	}
	hash := sha256.Sum256([]byte(part))
	return hex.EncodeToString(hash[:16])
}

// Evidence is a crash at which a request of a team with the marked part was running.
type Evidence struct {
	Crash   Crash
	Team    string
	At      time.Time // When this process learned of it, less its age.
	Cleared bool      // A prompt with the part was answered since.
}

// Mark is the evidence against one part.
type Mark struct {
	Part     string
	Evidence []Evidence
}

// crashes returns the crashes that count against the part.
func (m *Mark) crashes() map[Crash]bool {
	crashes := make(map[Crash]bool)
	for _, e := range m.Evidence {
		if !e.Cleared {
			crashes[e.Crash] = true
		}
	}
	return crashes
}

// add merges evidence into the mark and reports whether that changed it.
func (m *Mark) add(evidence Evidence) bool {
	for i := range m.Evidence {
		known := &m.Evidence[i]
		if known.Crash != evidence.Crash || known.Team != evidence.Team {
			continue
		}
		changed := evidence.Cleared && !known.Cleared
		known.Cleared = known.Cleared || evidence.Cleared
		return changed
	}
	m.Evidence = append(m.Evidence, evidence)
	if len(m.Evidence) > maxEvidence {
		m.removeLeast()
	}
	return true
}

// removeLeast removes the oldest evidence, cleared evidence first.
func (m *Mark) removeLeast() {
	least := 0
	for i, e := range m.Evidence {
		other := m.Evidence[least]
		if e.Cleared != other.Cleared {
			if e.Cleared {
				least = i
			}
			continue
		}
		if e.At.Before(other.At) {
			least = i
		}
	}
	m.Evidence = slices.Delete(m.Evidence, least, least+1)
}

// clear marks all evidence as cleared and reports whether any was not.
func (m *Mark) clear() bool {
	changed := false
	for i := range m.Evidence {
		changed = changed || !m.Evidence[i].Cleared
		m.Evidence[i].Cleared = true
	}
	return changed
}

func (m *Mark) clone() Mark { return Mark{Part: m.Part, Evidence: slices.Clone(m.Evidence)} }

// newest returns when the last crash of the mark became known.
func (m *Mark) newest() time.Time {
	var newest time.Time
	for _, e := range m.Evidence {
		if e.At.After(newest) {
			newest = e.At
		}
	}
	return newest
}

// answeredParts remembers the parts that were answered last. It holds two
// generations, so that it forgets the older half at a time.
type answeredParts struct {
	current, previous map[string]bool
}

func (a *answeredParts) add(part string) {
	if a.current[part] {
		return
	}
	if len(a.current) >= maxAnswered/2 {
		a.previous, a.current = a.current, nil
	}
	if a.current == nil {
		a.current = make(map[string]bool)
	}
	a.current[part] = true
}

func (a *answeredParts) has(part string) bool { return a.current[part] || a.previous[part] }
