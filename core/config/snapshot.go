package config

import (
	"github.com/benbjohnson/immutable"

	"flamingospar.org/core/catalogue"
)

// Snapshot is a state as it is stored, so that a process need not replay the
// whole log of changes when it starts.
type Snapshot struct {
	Revision  Revision            `json:"revision"`
	Catalogue *catalogue.Document `json:"catalogue"`
	Keys      []Key               `json:"keys"`
}

// Snapshot returns what has to be stored of s.
func (s *State) Snapshot() Snapshot {
	return Snapshot{Revision: s.Revision, Catalogue: s.Catalogue, Keys: s.Keys()}
}

// State returns the state that the snapshot was taken of.
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
