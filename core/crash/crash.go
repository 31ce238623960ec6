// Package crash records the requests that were running when endpoints crashed.
// Merging marks is commutative, associative and idempotent, so that processes can
// exchange them in any order and more than once.
package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"time"
)

// Limits of marks.
const (
	// RefuseThreshold is the number of crashes from which on a request is refused.
	RefuseThreshold = 2
	// Retention is how long a crash is counted.
	Retention = 24 * time.Hour
	// maxCrashesPerMark is the maximum number of crashes that a mark keeps.
	maxCrashesPerMark = 8
)

// Fingerprint identifies a request by its team, path and body.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(team, path string, body []byte) Fingerprint {
	hash := sha256.New()
	hash.Write([]byte(team))
	hash.Write([]byte{0})
	hash.Write([]byte(path))
	hash.Write([]byte{0})
	hash.Write(body)
	return Fingerprint(hex.EncodeToString(hash.Sum(nil)[:16]))
}

// Mark records the crashes of endpoints that were running one request. The zero
// Mark has no crashes.
type Mark struct {
	Fingerprint Fingerprint      `json:"fingerprint"`
	Team        string           `json:"team"`
	Crashes     map[string]int64 `json:"crashes"` // Unix milliseconds by crash id.
	Cleared     int64            `json:"cleared"` // Unix milliseconds; crashes up to this time are not counted.
}

// New returns a mark with one crash.
func New(fingerprint Fingerprint, team, crashID string, at time.Time) Mark {
	return Mark{Fingerprint: fingerprint, Team: team, Crashes: map[string]int64{crashID: at.UnixMilli()}}
}

// Merge returns the union of both marks, without the crashes that either clears
// and with the newest ones if there are more than maxCrashesPerMark.
func Merge(a, b Mark) Mark {
	merged := Mark{Fingerprint: a.Fingerprint, Team: a.Team, Cleared: max(a.Cleared, b.Cleared)}
	if merged.Fingerprint == "" {
		merged.Fingerprint, merged.Team = b.Fingerprint, b.Team
	}
	merged.Crashes = make(map[string]int64)
	for _, mark := range []Mark{a, b} {
		for id, at := range mark.Crashes {
			if at > merged.Cleared {
				merged.Crashes[id] = at
			}
		}
	}
	for len(merged.Crashes) > maxCrashesPerMark {
		delete(merged.Crashes, oldest(merged.Crashes))
	}
	return merged
}

func oldest(crashes map[string]int64) string {
	oldestID := ""
	for id, at := range crashes {
		if oldestID == "" || at < crashes[oldestID] || at == crashes[oldestID] && id < oldestID {
			oldestID = id
		}
	}
	return oldestID
}

// Equal reports whether both marks have the same crashes and the same time of
// clearing. Fingerprint and team are not compared.
func (m Mark) Equal(other Mark) bool {
	if m.Cleared != other.Cleared || len(m.Crashes) != len(other.Crashes) {
		return false
	}
	for id, at := range m.Crashes {
		if other.Crashes[id] != at {
			return false
		}
	}
	return true
}

// Count returns the number of crashes that are neither cleared nor older than
// Retention at now.
func (m Mark) Count(now time.Time) int {
	count := 0
	oldestKept := now.Add(-Retention).UnixMilli()
	for _, at := range m.Crashes {
		if at > m.Cleared && at > oldestKept {
			count++
		}
	}
	return count
}

// Refused reports whether the request must be refused at now.
func (m Mark) Refused(now time.Time) bool { return m.Count(now) >= RefuseThreshold }

// Without returns the mark without the crashes with the given ids.
func (m Mark) Without(ids map[string]bool) Mark {
	crashes := maps.Clone(m.Crashes)
	maps.DeleteFunc(crashes, func(id string, _ int64) bool { return ids[id] })
	m.Crashes = crashes
	return m
}

// Suspect reports whether the request may have caused a crash, so that it must not
// run together with other suspects.
func (m Mark) Suspect(now time.Time) bool { return m.Count(now) > 0 }

// Clear returns the mark with all crashes up to now cleared.
func (m Mark) Clear(now time.Time) Mark {
	return Merge(m, Mark{Cleared: now.UnixMilli()})
}

// Expired reports whether the mark has no counted crash and a time of clearing
// that is older than Retention, so that it can be removed.
func (m Mark) Expired(now time.Time) bool {
	return m.Count(now) == 0 && m.Cleared < now.Add(-Retention).UnixMilli()
}
