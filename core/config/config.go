// Package config applies the log of accepted changes to build the configuration
// in force, which is the catalogue and the API keys, and decides how long a
// process may act on the revision that it holds.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/benbjohnson/immutable"

	"flamingospar.org/core/catalogue"
)

// Revision numbers accepted changes, from 1, without gaps.
type Revision int64

// KeyHash is the hex SHA-256 of a caller's key. The key itself is never stored.
type KeyHash string

// HashKey returns the hash under which a key is stored.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Key describes an issued API key.
type Key struct {
	ID   string  `json:"id"`
	Team string  `json:"team"`
	Hash KeyHash `json:"hash"`
}

// Change is one accepted change; exactly one of Catalogue, IssueKey and
// WithdrawKey is set. ID makes a repeated submission idempotent.
type Change struct {
	ID          string              `json:"id,omitempty"`
	Revision    Revision            `json:"revision"`
	Operator    string              `json:"operator"`
	UnixMillis  int64               `json:"unix_millis"`
	Catalogue   *catalogue.Document `json:"catalogue,omitempty"`
	IssueKey    *Key                `json:"issue_key,omitempty"`
	WithdrawKey string              `json:"withdraw_key,omitempty"` // The key's ID.
	// RollbackTo is the revision whose catalogue this change restores.
	RollbackTo Revision `json:"rollback_to,omitempty"`
}

// Errors that State.Check returns for a change.
var (
	ErrKeyUnknown      = errors.New("config: no live key has this id; remedy: list the keys, it may be withdrawn already")
	ErrKeyExists       = errors.New("config: a live key has this id or hash; remedy: issue a key with a new id")
	ErrExactlyOneField = errors.New("config: the change sets none or several of catalogue, issued key and withdrawn key; remedy: set exactly one")
)

// State is the configuration at one revision. It is immutable; successive states
// share the parts that did not change.
type State struct {
	Revision  Revision
	Catalogue *catalogue.Document
	byHash    *immutable.Map[KeyHash, Key]
	byID      *immutable.Map[string, KeyHash]
}

// Empty returns the state before the first change.
func Empty() *State {
	return &State{
		Catalogue: new(catalogue.Document),
		byHash:    immutable.NewMap[KeyHash, Key](nil),
		byID:      immutable.NewMap[string, KeyHash](nil),
	}
}

// Check returns the reason why change cannot be applied to s, or nil if it can.
func (s *State) Check(change Change) error {
	if change.payloadCount() != 1 {
		return ErrExactlyOneField
	}
	if change.WithdrawKey != "" {
		if _, live := s.byID.Get(change.WithdrawKey); !live {
			return ErrKeyUnknown
		}
	}
	if change.IssueKey != nil {
		_, idTaken := s.byID.Get(change.IssueKey.ID)
		_, hashTaken := s.byHash.Get(change.IssueKey.Hash)
		if idTaken || hashTaken {
			return ErrKeyExists
		}
	}
	return nil
}

func (c Change) payloadCount() int {
	n := 0
	for _, set := range []bool{c.Catalogue != nil, c.IssueKey != nil, c.WithdrawKey != ""} {
		if set {
			n++
		}
	}
	return n
}

// Digest returns a hash of the effect of a change. It does not depend on the ID,
// the revision, the operator and the time.
func (c Change) Digest() string {
	c.ID, c.Revision, c.Operator, c.UnixMillis = "", 0, "", 0
	data, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Apply returns the state after change, which must have the next revision. The
// cost does not grow with the number of keys.
func (s *State) Apply(change Change) (*State, error) {
	if change.Revision != s.Revision+1 {
		return nil, fmt.Errorf("config: change %d does not follow revision %d; remedy: read the changes between them first", change.Revision, s.Revision)
	}
	next := *s
	next.Revision = change.Revision
	switch {
	case change.Catalogue != nil:
		next.Catalogue = change.Catalogue
	case change.IssueKey != nil:
		next.byHash = s.byHash.Set(change.IssueKey.Hash, *change.IssueKey)
		next.byID = s.byID.Set(change.IssueKey.ID, change.IssueKey.Hash)
	case change.WithdrawKey != "":
		next.removeKey(change.WithdrawKey)
	}
	return &next, nil
}

func (s *State) removeKey(id string) {
	hash, live := s.byID.Get(id)
	if !live {
		return
	}
	s.byHash = s.byHash.Delete(hash)
	s.byID = s.byID.Delete(id)
}

// KeyByHash returns the live key with the given hash.
func (s *State) KeyByHash(hash KeyHash) (Key, bool) {
	return s.byHash.Get(hash)
}

// Keys returns the live keys in no particular order.
func (s *State) Keys() []Key {
	keys := make([]Key, 0, s.byHash.Len())
	for iterator := s.byHash.Iterator(); !iterator.Done(); {
		_, key, _ := iterator.Next()
		keys = append(keys, key)
	}
	return keys
}
