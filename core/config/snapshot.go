package config

import (
	"github.com/benbjohnson/immutable"

	"flamingospar.org/core/catalogue"
)

// Snapshot is the stored form of a State. It saves a starting process from
// replaying the whole log of changes.
type Snapshot struct {
	Revision  Revision            `json:"revision"`
	Catalogue *catalogue.Document `json:"catalogue"`
	Keys      []Key               `json:"keys"`
}

// Snapshot returns the stored form of s.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Revision: s.Revision, Catalogue: s.Catalogue, Keys: s.Keys()}
}

// State returns the state from which the snapshot was taken.
func (s Snapshot) State() *State {
	byHash := immutable.NewMapBuilder[KeyHash, Key](nil)
	byID := immutable.NewMapBuilder[string, KeyHash](nil)
	for _, key := range s.Keys {
		byHash.Set(key.Hash, key)
		byID.Set(key.ID, key.Hash)
	}
	state := &State{Revision: s.Revision, Catalogue: s.Catalogue, byHash: byHash.Map(), byID: byID.Map()}
	if state.Catalogue == nil {
		state.Catalogue = new(catalogue.Document)
	}
	return state
}
