package operator

import (
	"net/http"
	"strconv"

	"flamingospar.org/core/config"
)

const defaultHistoryLimit = 100

// RollbackRequest restores the catalogue that was in force at revision To. Base
// is the revision that the rollback is based on; 0 means any.
type RollbackRequest struct {
	Base     config.Revision `json:"base,omitempty"`
	To       config.Revision `json:"to"`
	Operator string          `json:"operator,omitempty"`
}

func (a *API) rollBack(w http.ResponseWriter, r *http.Request) {
	var request RollbackRequest
	if !a.decodeBody(w, r, &request) {
		return
	}
	revision, err := a.config.Rollback(r.Context(), request.Base, request.To, operatorName(r, request.Operator))
	a.writeRevision(w, r, revision, err)
}

// showHistory lists accepted changes in order of revision, starting at the query
// parameter "from". It leaves out the hashes of keys.
func (a *API) showHistory(w http.ResponseWriter, r *http.Request) {
	from, ok := a.positiveParam(w, r, "from", 1)
	if !ok {
		return
	}
	limit, ok := a.positiveParam(w, r, "limit", defaultHistoryLimit)
	if !ok {
		return
	}
	changes, err := a.config.History(r.Context(), config.Revision(from), limit)
	if err != nil {
		a.writeError(w, err)
		return
	}
	for i := range changes {
		if changes[i].IssueKey != nil {
			redacted := *changes[i].IssueKey
			redacted.Hash = ""
			changes[i].IssueKey = &redacted
		}
	}
	writeJSON(w, changes)
}

// positiveParam returns a query parameter that must be a positive integer, or
// fallback if it is absent.
func (a *API) positiveParam(w http.ResponseWriter, r *http.Request, name string, fallback int) (int, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 {
		a.writeProblem(w, newProblem(codeBody, "%s must be a positive integer", name))
		return 0, false
	}
	return value, true
}

// writeRevision waits until the change is in force and responds with 200, or
// with 202 if the change is accepted but not yet known to be in force.
func (a *API) writeRevision(w http.ResponseWriter, r *http.Request, revision config.Revision, err error) {
	if err != nil {
		a.writeError(w, err)
		return
	}
	standing := a.config.AwaitInForce(r.Context(), revision)
	w.Header().Set("Content-Type", "application/json")
	if !standing.InForce {
		w.WriteHeader(http.StatusAccepted)
	}
	writeJSON(w, RevisionResponse{Revision: revision, Propagation: standing})
}
