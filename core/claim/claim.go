// Package claim implements idempotency keys for requests that may not be
// repeated: it decides from the stored row of a key how a submission is answered.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// State is the state of the run that a key was claimed for.
type State string

// The states of a claim.
const (
	// Running means that the key is claimed and the end of the run is not yet
	// written.
	Running State = "running"
	// Done means that the run ended. Its answer is stored unless it was too large.
	Done State = "done"
	// Unknown means that the run may have taken effect. Only an operator can
	// settle the claim.
	Unknown State = "unknown"
	// Released means that nothing ran and the key may be used again. The row is
	// kept for ReleasedRetention, so that a late commit of the claim conflicts
	// with it.
	Released State = "released"
)

const (
	// CompletionMargin is how long after a run's deadline its end may still be
	// written. It covers the grace period of the cancellation and the clock skew
	// between VMs.
	CompletionMargin = 10 * time.Second
	// ReleasedRetention is how long a released row is kept.
	ReleasedRetention = 5 * time.Minute
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 255
)

// Answer is the stored answer of a plain service.
type Answer struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers"`
	Body    []byte              `json:"body,omitempty"`
	Object  string              `json:"object,omitempty"` // Object that holds the body instead of Body.
	// Dropped reports that the body was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
}

// Row is a claim as it is stored.
type Row struct {
	Team      string  `json:"team"`
	Key       string  `json:"key"`
	Request   string  `json:"request"` // Hash of the method, the URI and the body.
	Owner     string  `json:"owner"`   // Request id of the submission that claimed the key.
	State     State   `json:"state"`
	Deadline  int64   `json:"deadline"` // Of the run, Unix milliseconds.
	Expires   int64   `json:"expires"`  // Of the row, Unix milliseconds.
	Answer    *Answer `json:"answer,omitempty"`
	SettledBy string  `json:"settled_by,omitempty"`
}

// HashRequest returns a hash that is the same for all submissions of a request.
func HashRequest(method, uri string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{method, uri} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// RowName returns the name of a key's row. It is a hash, so that names are evenly
// distributed over their first characters.
func RowName(team, key string) string {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return hex.EncodeToString(sum[:])
}

// ValidKey reports whether a key is 1 to MaxKeyBytes of printable ASCII.
func ValidKey(key string) bool {
	if key == "" || len(key) > MaxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// Action is how a submission is handled whose key is already claimed.
type Action int

// The actions.
const (
	Replay          Action = iota // Send the stored answer.
	AnswerNotStored               // The run ended, but its answer is not stored.
	Mismatch                      // The key was claimed for another request.
	InProgress                    // The first submission is still running.
	OutcomeUnknown                // The run may have taken effect.
	MarkUnknown                   // The owner never wrote the end of the run: store Unknown, then answer OutcomeUnknown.
)

// Decide returns how a submission is handled whose key is claimed by row; request
// is the submission's HashRequest.
func Decide(row Row, request string, now time.Time) Action {
	switch {
	case row.Request != request:
		return Mismatch
	case row.State == Done && row.Answer != nil && !row.Answer.Dropped:
		return Replay
	case row.State == Done:
		return AnswerNotStored
	case row.State == Unknown:
		return OutcomeUnknown
	case now.UnixMilli() > row.Deadline+CompletionMargin.Milliseconds():
		return MarkUnknown
	default:
		return InProgress
	}
}

// Remaining returns how long the run may still be in progress after now.
func (r Row) Remaining(now time.Time) time.Duration {
	return time.Duration(r.Deadline-now.UnixMilli())*time.Millisecond + CompletionMargin
}

// Expired reports whether the row may be deleted. A row in the state Unknown is
// kept until it is settled.
func (r Row) Expired(now time.Time) bool {
	return (r.State == Done || r.State == Released) && now.UnixMilli() > r.Expires
}

// Release returns the row that is stored when nothing ran.
func (r Row) Release(now time.Time) Row {
	r.State = Released
	r.Answer = nil
	r.Expires = now.Add(ReleasedRetention).UnixMilli()
	return r
}

// MayComplete reports whether owner may still write how its run ended. The owner
// knows the outcome, so it may also replace the state Unknown, but not the
// decision of an operator who settled the claim.
func (r Row) MayComplete(owner string) bool {
	return r.Owner == owner && r.SettledBy == "" && (r.State == Running || r.State == Unknown)
}
