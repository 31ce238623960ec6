package configview

import (
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
)

// Update is what an agent with an older revision lacks.
type Update struct {
	Revision  config.Revision
	Withdrawn []string // IDs of keys withdrawn since the agent's revision.
	Complete  bool     // False if Withdrawn may lack some keys.
	// Models are the catalogue's models, set if the catalogue may have changed.
	Models []catalogue.Model
}

// UpdateSince returns what changed after revision.
func (v *View) UpdateSince(revision config.Revision) Update {
	v.mu.Lock()
	defer v.mu.Unlock()
	update := Update{Revision: v.latestOrEmpty().Revision}
	changes, complete := v.changesAfter(revision)
	update.Complete = complete
	if !complete {
		update.Models = v.latestOrEmpty().Catalogue.Models
	}
	for _, change := range changes {
		if change.WithdrawKey != "" {
			update.Withdrawn = append(update.Withdrawn, change.WithdrawKey)
		}
		if change.Catalogue != nil {
			update.Models = change.Catalogue.Models
		}
	}
	return update
}
