package operator

import (
	"encoding/json"
	"net/http"
	"strconv"

	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/core/strict"
	"flamingospar.org/entry/configview"
)

// CatalogueAnswer is the answer to a read of the catalogue.
type CatalogueAnswer struct {
	Revision  config.Revision     `json:"revision"`
	Catalogue *catalogue.Document `json:"catalogue"`
}

// CatalogueChange is the body of a check or write of the catalogue: as TOML
// text with a file name, or as JSON. Base is the revision that the operator
// saw; 0 means any.
type CatalogueChange struct {
	Base      config.Revision `json:"base,omitempty"`
	Operator  string          `json:"operator,omitempty"`
	File      string          `json:"file,omitempty"`
	TOML      string          `json:"toml,omitempty"`
	Catalogue json.RawMessage `json:"catalogue,omitempty"`
}

// RevisionAnswer tells which revision a change became and how far it has come.
type RevisionAnswer struct {
	Revision config.Revision `json:"revision"`
	configview.Standing
}

func (a *API) showCatalogue(w http.ResponseWriter, _ *http.Request) {
	state, ok := a.current(w)
	if !ok {
		return
	}
	write(w, CatalogueAnswer{Revision: state.Revision, Catalogue: state.Catalogue})
}

func (a *API) checkCatalogue(w http.ResponseWriter, r *http.Request) {
	var change CatalogueChange
	if !a.read(w, r, &change) {
		return
	}
	state, ok := a.current(w)
	if !ok {
		return
	}
	if _, err := checkedDocument(change, state); err != nil {
		a.refuseError(w, err)
		return
	}
	write(w, RevisionAnswer{Revision: state.Revision})
}

func (a *API) applyCatalogue(w http.ResponseWriter, r *http.Request) {
	var change CatalogueChange
	if !a.read(w, r, &change) {
		return
	}
	state, ok := a.current(w)
	if !ok {
		return
	}
	document, err := checkedDocument(change, state)
	if err != nil {
		a.refuseError(w, err)
		return
	}
	base := change.Base
	if base == 0 {
		base = state.Revision // The check of keys holds for this revision only.
	}
	revision, err := a.config.Write(r.Context(), base, config.Change{Operator: operatorOf(r, change.Operator), Catalogue: document})
	a.answerRevision(w, r, revision, err)
}

// checkedDocument reads a change's catalogue and checks it against the keys in
// force.
func checkedDocument(change CatalogueChange, state *config.State) (*catalogue.Document, error) {
	if change.TOML == "" {
		document, err := catalogue.ParseJSON(change.Catalogue)
		if err != nil {
			return nil, err
		}
		return document, keysHaveTeams(catalogue.JSONFile, document, state)
	}
	file := change.File
	if file == "" {
		file = "catalogue.toml"
	}
	document, err := catalogue.Parse(file, []byte(change.TOML))
	if err != nil {
		return nil, err
	}
	return document, keysHaveTeams(file, document, state)
}

// keysHaveTeams refuses to remove a team whose keys are in force.
func keysHaveTeams(file string, document *catalogue.Document, state *config.State) error {
	teams := make(map[string]bool, len(document.Teams))
	for _, team := range document.Teams {
		teams[team.Name] = true
	}
	var found strict.Problems
	missing := make(map[string]bool)
	for _, key := range state.Keys() {
		if !teams[key.Team] && !missing[key.Team] {
			missing[key.Team] = true
			found = append(found, &strict.Problem{File: file, Key: "team", Message: "the team " + strconv.Quote(key.Team) + " has keys in force", Remedy: "withdraw its keys first, or keep the team"})
		}
	}
	if len(found) == 0 {
		return nil
	}
	return found
}

func (a *API) current(w http.ResponseWriter) (*config.State, bool) {
	state := a.config.Current()
	if state == nil {
		a.refuse(w, problem(codeNoConfig, "no current configuration is held"))
		return nil, false
	}
	return state, true
}
