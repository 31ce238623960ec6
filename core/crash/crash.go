// Package crash keeps marks of requests that were running when endpoints
// crashed. Marks merge in any order and any number of times to the same result,
// so that processes can spread them along any path.
package crash

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Limits of marks.
const (
	// RefuseAt is the number of crashes after which a request is refused.
	RefuseAt = 2
	// Retention is how long a crash counts.
	Retention = 24 * time.Hour
	// maxCrashes bounds the crashes kept in one mark.
	maxCrashes = 8
)

// Fingerprint names a request by its team and content.
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

// Mark is what is known of one request. The zero Mark has no crashes.
type Mark struct {
	Fingerprint Fingerprint      `json:"fingerprint"`
	Team        string           `json:"team"`
	Crashes     map[string]int64 `json:"crashes"` // Unix milliseconds by crash id.
	Cleared     int64            `json:"cleared"` // Unix milliseconds; earlier crashes do not count.
}

// New returns a mark of one crash.
func New(fingerprint Fingerprint, team, crashID string, at time.Time) Mark {
	return Mark{Fingerprint: fingerprint, Team: team, Crashes: map[string]int64{crashID: at.UnixMilli()}}
}

// Merge returns what both marks know.
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
	for len(merged.Crashes) > maxCrashes {
		delete(merged.Crashes, oldest(merged.Crashes))
	}
	return merged
}

func oldest(crashes map[string]int64) string {
	first := ""
	for id, at := range crashes {
		if first == "" || at < crashes[first] || at == crashes[first] && id < first {
			first = id
		}
	}
	return first
}

// Equal reports whether both marks know the same.
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

// Count returns the crashes that count at now.
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

// Refused reports whether the request is refused at now.
func (m Mark) Refused(now time.Time) bool { return m.Count(now) >= RefuseAt }

// Suspect reports whether the request may run only without other suspects.
func (m Mark) Suspect(now time.Time) bool { return m.Count(now) > 0 }

// Clear returns the mark without the crashes up to now.
func (m Mark) Clear(now time.Time) Mark {
	return Merge(m, Mark{Cleared: now.UnixMilli()})
}

// Forgettable reports whether nothing in the mark can matter any more.
func (m Mark) Forgettable(now time.Time) bool {
	return m.Count(now) == 0 && m.Cleared < now.Add(-Retention).UnixMilli()
}
