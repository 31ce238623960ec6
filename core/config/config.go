// Package config folds the log of accepted changes into the configuration that
// is in force: the catalogue and the keys. Each change has a revision; the
// revision of a state never falls.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"

	"flamingospar.org/core/catalogue"
)

// Revision numbers accepted changes, from 1, without gaps.
type Revision int64

// KeyHash is the hex SHA-256 of a caller's key; the key itself is never kept.
type KeyHash string

// HashKey returns the hash under which a key is kept.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Key is what is known of an issued key.
type Key struct {
	ID   string  `json:"id"`
	Team string  `json:"team"`
	Hash KeyHash `json:"hash"`
}

// Change is one accepted change; exactly one of its parts is set.
type Change struct {
	Revision    Revision            `json:"revision"`
	Operator    string              `json:"operator"`
	UnixMillis  int64               `json:"unix_millis"`
	Catalogue   *catalogue.Document `json:"catalogue,omitempty"`
	IssueKey    *Key                `json:"issue_key,omitempty"`
	WithdrawKey string              `json:"withdraw_key,omitempty"` // The key's ID.
}

// State is the configuration at one revision. It is immutable.
type State struct {
	Revision  Revision
	Catalogue *catalogue.Document
	byHash    map[KeyHash]Key
}

// Empty returns the state before the first change.
func Empty() *State {
	return &State{Catalogue: new(catalogue.Document), byHash: map[KeyHash]Key{}}
}

// Apply returns the state after change. The change must carry the next revision.
func (s *State) Apply(change Change) (*State, error) {
	if change.Revision != s.Revision+1 {
		return nil, fmt.Errorf("config: change %d does not follow revision %d; remedy: read the changes between them first", change.Revision, s.Revision)
	}
	next := &State{Revision: change.Revision, Catalogue: s.Catalogue, byHash: s.byHash}
	switch {
	case change.Catalogue != nil:
		next.Catalogue = change.Catalogue
	case change.IssueKey != nil:
		next.byHash = maps.Clone(s.byHash)
		next.byHash[change.IssueKey.Hash] = *change.IssueKey
	case change.WithdrawKey != "":
		next.byHash = withoutKey(s.byHash, change.WithdrawKey)
	}
	return next, nil
}

// KeyByHash returns the live key with a hash.
func (s *State) KeyByHash(hash KeyHash) (Key, bool) {
	key, ok := s.byHash[hash]
	return key, ok
}

// Keys returns the live keys in no particular order.
func (s *State) Keys() []Key {
	keys := make([]Key, 0, len(s.byHash))
	for _, key := range s.byHash {
		keys = append(keys, key)
	}
	return keys
}

func withoutKey(keys map[KeyHash]Key, id string) map[KeyHash]Key {
	kept := make(map[KeyHash]Key, len(keys))
	for hash, key := range keys {
		if key.ID != id {
			kept[hash] = key
		}
	}
	return kept
}
