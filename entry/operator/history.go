package operator

import (
	"net/http"
	"strconv"

	"flamingospar.org/core/config"
)

const defaultHistory = 100

// RollbackRequest asks for the catalogue that was in force at revision To. Base
// is the revision that the operator saw; 0 means any.
type RollbackRequest struct {
	Base     config.Revision `json:"base,omitempty"`
	To       config.Revision `json:"to"`
	Operator string          `json:"operator,omitempty"`
}

func (a *API) rollBack(w http.ResponseWriter, r *http.Request) {
	var request RollbackRequest
	if !a.read(w, r, &request) {
		return
	}
	revision, err := a.config.Rollback(r.Context(), request.Base, request.To, operatorOf(r, request.Operator))
	a.answerRevision(w, r, revision, err)
}

// showHistory lists accepted changes from the revision in the query on.
func (a *API) showHistory(w http.ResponseWriter, r *http.Request) {
	from, ok := a.number(w, r, "from", 1)
	if !ok {
		return
	}
	limit, ok := a.number(w, r, "limit", defaultHistory)
	if !ok {
		return
	}
	changes, err := a.config.History(r.Context(), config.Revision(from), limit)
	if err != nil {
		a.refuseError(w, err)
		return
	}
	for i := range changes {
		if changes[i].IssueKey != nil {
			hidden := *changes[i].IssueKey
			hidden.Hash = ""
			changes[i].IssueKey = &hidden
		}
	}
	write(w, changes)
}

// number returns a query's whole number above 0, or fallback where there is none.
func (a *API) number(w http.ResponseWriter, r *http.Request, name string, fallback int) (int, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, true
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < 1 {
		a.refuse(w, problem(codeBody, "%s must be a whole number above 0", name))
		return 0, false
	}
	return value, true
}

// answerRevision waits until the change is in force. It answers 200 then, and
// 202 for a change that is accepted but not yet known to be in force.
func (a *API) answerRevision(w http.ResponseWriter, r *http.Request, revision config.Revision, err error) {
	if err != nil {
		a.refuseError(w, err)
		return
	}
	standing := a.config.AwaitInForce(r.Context(), revision)
	w.Header().Set("Content-Type", "application/json")
	if !standing.InForce {
		w.WriteHeader(http.StatusAccepted)
	}
	write(w, RevisionAnswer{Revision: revision, Standing: standing})
}
