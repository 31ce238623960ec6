// Package claim decides what happens to a request that may not be repeated and
// carries an idempotency key, from the row that holds its key.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// State is what is known of the run behind a key.
type State string

// The states of a claim.
const (
	// Running: the claim was taken and its end is not yet written.
	Running State = "running"
	// Done: the run ended and its answer is stored, if it was not too large.
	Done State = "done"
	// Unknown: the run may have taken effect. Only an operator settles it.
	Unknown State = "unknown"
	// Released: nothing ran; the key may be used again. The row stays for a
	// while, so that a late commit of the claim finds its place taken.
	Released State = "released"
)

const (
	// Margin is how long after a run's deadline its end may still be written:
	// the grace of its cancellation and the difference between VMs' clocks.
	Margin = 10 * time.Second
	// ReleasedFor is how long a released row stays.
	ReleasedFor = 5 * time.Minute
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 255
)

// Answer is a stored answer of a plain service.
type Answer struct {
	Status  int                 `json:"status"`
	Headers map[string][]string `json:"headers"`
	Body    []byte              `json:"body,omitempty"`
	Object  string              `json:"object,omitempty"` // Holds the body instead.
	// Dropped says that the body was too large to be stored.
	Dropped bool `json:"dropped,omitempty"`
}

// Row is the stored claim.
type Row struct {
	Team      string  `json:"team"`
	Key       string  `json:"key"`
	Request   string  `json:"request"` // Hash of the route and the body.
	Owner     string  `json:"owner"`   // The request id of the submission that runs.
	State     State   `json:"state"`
	Deadline  int64   `json:"deadline"` // Of the run, Unix milliseconds.
	Expires   int64   `json:"expires"`  // Of the row, Unix milliseconds.
	Answer    *Answer `json:"answer,omitempty"`
	SettledBy string  `json:"settled_by,omitempty"`
}

// HashRequest returns what two submissions of the same request share.
func HashRequest(method, uri string, body []byte) string {
	hash := sha256.New()
	for _, part := range []string{method, uri} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(body)
	return hex.EncodeToString(hash.Sum(nil))
}

// RowName returns the name of a key's row. Names spread evenly over their
// first characters.
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

// Action is what happens to a submission whose key is taken.
type Action int

// The actions.
const (
	Replay       Action = iota // Send the stored answer.
	NoAnswer                   // It ran; its answer is not stored.
	Mismatch                   // The key belongs to another request.
	InProgress                 // The first submission is still running.
	Doubtful                   // Its run may have taken effect.
	TurnDoubtful               // Its owner never wrote an end: first store Unknown.
)

// Decide returns what happens to a submission of the request with the hash.
func Decide(row Row, request string, now time.Time) Action {
	switch {
	case row.Request != request:
		return Mismatch
	case row.State == Done && row.Answer != nil && !row.Answer.Dropped:
		return Replay
	case row.State == Done:
		return NoAnswer
	case row.State == Unknown:
		return Doubtful
	case now.UnixMilli() > row.Deadline+Margin.Milliseconds():
		return TurnDoubtful
	default:
		return InProgress
	}
}

// Left returns how long a run may still be in progress at now.
func (r Row) Left(now time.Time) time.Duration {
	return time.Duration(r.Deadline-now.UnixMilli())*time.Millisecond + Margin
}

// Expired reports whether the row may be deleted. A doubtful one is kept until
// it is settled.
func (r Row) Expired(now time.Time) bool {
	return (r.State == Done || r.State == Released) && now.UnixMilli() > r.Expires
}

// Release returns the row as it stays after nothing ran.
func (r Row) Release(now time.Time) Row {
	r.State = Released
	r.Answer = nil
	r.Expires = now.Add(ReleasedFor).UnixMilli()
	return r
}

// Open reports whether the owner may still write how its run ended. It has the
// proof, so it may do so also after the row turned unknown, but not after an
// operator settled it.
func (r Row) Open(owner string) bool {
	return r.Owner == owner && r.SettledBy == "" && (r.State == Running || r.State == Unknown)
}
