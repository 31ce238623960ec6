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

// CatalogueResponse is the response body of GET /v1/catalogue.
type CatalogueResponse struct {
	Revision  config.Revision     `json:"revision"`
	Catalogue *catalogue.Document `json:"catalogue"`
}

// CatalogueChange is the request body that checks or replaces the catalogue,
// which is given as TOML text with a file name or as JSON. Base is the revision
// that the change is based on; 0 means the current one.
type CatalogueChange struct {
	Base      config.Revision `json:"base,omitempty"`
	Operator  string          `json:"operator,omitempty"`
	File      string          `json:"file,omitempty"`
	TOML      string          `json:"toml,omitempty"`
	Catalogue json.RawMessage `json:"catalogue,omitempty"`
}

// RevisionResponse contains the revision of a change and the state of its
// propagation.
type RevisionResponse struct {
	Revision config.Revision `json:"revision"`
	configview.Propagation
}

func (a *API) showCatalogue(w http.ResponseWriter, _ *http.Request) {
	state, ok := a.currentState(w)
	if !ok {
		return
	}
	writeJSON(w, CatalogueResponse{Revision: state.Revision, Catalogue: state.Catalogue})
}

func (a *API) checkCatalogue(w http.ResponseWriter, r *http.Request) {
	var change CatalogueChange
	if !a.decodeBody(w, r, &change) {
		return
	}
	state, ok := a.currentState(w)
	if !ok {
		return
	}
	if _, err := parseAndCheck(change, state); err != nil {
		a.writeError(w, err)
		return
	}
	writeJSON(w, RevisionResponse{Revision: state.Revision})
}

func (a *API) applyCatalogue(w http.ResponseWriter, r *http.Request) {
	var change CatalogueChange
	if !a.decodeBody(w, r, &change) {
		return
	}
	state, ok := a.currentState(w)
	if !ok {
		return
	}
	document, err := parseAndCheck(change, state)
	if err != nil {
		a.writeError(w, err)
		return
	}
	base := change.Base
	if base == 0 {
		base = state.Revision // checkKeyTeams checked the keys of this revision only.
	}
	revision, err := a.config.Write(r.Context(), base, config.Change{Operator: operatorName(r, change.Operator), Catalogue: document})
	a.writeRevision(w, r, revision, err)
}

// parseAndCheck parses the catalogue of a change and checks it against the keys
// in force.
func parseAndCheck(change CatalogueChange, state *config.State) (*catalogue.Document, error) {
	if change.TOML == "" {
		document, err := catalogue.ParseJSON(change.Catalogue)
		if err != nil {
			return nil, err
		}
		return document, checkKeyTeams(catalogue.JSONFile, document, state)
	}
	file := change.File
	if file == "" {
		file = "catalogue.toml"
	}
	document, err := catalogue.Parse(file, []byte(change.TOML))
	if err != nil {
		return nil, err
	}
	return document, checkKeyTeams(file, document, state)
}

// checkKeyTeams returns an error if document lacks a team that has keys in force.
func checkKeyTeams(file string, document *catalogue.Document, state *config.State) error {
	teams := make(map[string]bool, len(document.Teams))
	for _, team := range document.Teams {
		teams[team.Name] = true
	}
	var problems strict.Problems
	missing := make(map[string]bool)
	for _, key := range state.Keys() {
		if !teams[key.Team] && !missing[key.Team] {
			missing[key.Team] = true
			problems = append(problems, &strict.Problem{File: file, Key: "team", Message: "the team " + strconv.Quote(key.Team) + " has keys in force", Remedy: "withdraw its keys first, or keep the team"})
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return problems
}

func (a *API) currentState(w http.ResponseWriter) (*config.State, bool) {
	state := a.config.Current()
	if state == nil {
		a.writeProblem(w, newProblem(codeNoConfig, "this entry has no current configuration"))
		return nil, false
	}
	return state, true
}
