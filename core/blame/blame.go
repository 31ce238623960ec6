// Package blame finds out which requests, and which parts of prompts, crash endpoints. An
// endpoint that crashes takes down the runs of many requests, so what runs at one crash
// proves little. A part is blamed once several crashes have no other explanation: no
// endpoint has answered a prompt with it in between, and no other part was in more of
// these crashes. A request is blamed for crashes that no part explains.
//
// Marks of several processes can be merged in any order and more than once.
package blame

import (
	"slices"
	"time"
)

// Limits of marks.
const (
	// MinCrashes is the number of crashes from which on a part is blamed, and
	// MinCrashesAnswered the number for a part that was answered a short time ago: a part
	// that everybody sends is then not blamed for what is sent with it.
	MinCrashes         = 3
	MinCrashesAnswered = 6
	// MinRequestCrashes is the number of crashes from which on a request as a whole is
	// blamed, and MinRequestCrashesAnswered the number for one that was answered a short
	// time ago.
	MinRequestCrashes         = 2
	MinRequestCrashesAnswered = 3
	// minMoments is the number of moments at which endpoints must have crashed until what
	// they began to answer a short time ago is blamed: everything that is often sent runs at
	// many endpoints that crash together.
	minMoments = 2
	// MaxMarks is the maximum number of marks of parts in a Set, and MaxRequestMarks that
	// of requests.
	MaxMarks        = 512
	MaxRequestMarks = 2048
	// maxEvidence is the maximum number of crashes and teams that a mark keeps.
	maxEvidence = 16
	// maxPartsPerRun bounds the parts of one prompt that are marked at a crash.
	maxPartsPerRun = 64
	// maxPartBytes is the length above which a part is known by its hash.
	maxPartBytes = 64
	// maxAnswered bounds the parts and requests that are known to have been answered, and
	// the parts to which answers were begun.
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
	// minRefusal and maxRefusal bound how long what is blamed is refused after the last
	// crash. In between it is refusalFactor times the time between the last two crashes,
	// so that a part whose refusal ended and that crashed again is refused for longer.
	// requestRefusalFactor is the same for requests as a whole: they may crash three more
	// endpoints within Retention once three are known.
	minRefusal           = 1 * time.Minute
	maxRefusal           = 24 * time.Hour
	refusalFactor        = 6
	requestRefusalFactor = 12
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
	Team     string
	Parts    []string // Of the prompt.
	Requests []string // Keys of the request as a whole.
}

// Evidence is a crash at which a request of a team with the marked part, or the marked
// request, was running.
type Evidence struct {
	Crash   Crash
	Team    string
	At      time.Time // Of the crash, as this process or another one noticed it.
	Cleared bool      // A prompt with the part was answered since.
}

// Mark is the evidence against one part, or a request as a whole.
type Mark struct {
	Part     string // Its key.
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
