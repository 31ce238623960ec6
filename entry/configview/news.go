package configview

import (
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
)

// News is what an agent at an older revision has to learn.
type News struct {
	Revision  config.Revision
	Withdrawn []string // Ids of keys withdrawn since the agent's revision.
	Complete  bool     // False when more keys may have been withdrawn.
	// Models are those of the catalogue, when it may have changed.
	Models []catalogue.Model
}

// News returns what happened after revision.
func (v *View) News(revision config.Revision) News {
	v.mu.Lock()
	defer v.mu.Unlock()
	news := News{Revision: v.heldOrEmpty().Revision}
	changes, complete := v.after(revision)
	news.Complete = complete
	if !complete {
		news.Models = v.heldOrEmpty().Catalogue.Models
	}
	for _, change := range changes {
		if change.WithdrawKey != "" {
			news.Withdrawn = append(news.Withdrawn, change.WithdrawKey)
		}
		if change.Catalogue != nil {
			news.Models = change.Catalogue.Models
		}
	}
	return news
}
