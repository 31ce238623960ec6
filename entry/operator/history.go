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
	Base     config.Revision `json:"base"`
	To       config.Revision `json:"to"`
	Operator string          `json:"operator"`
}

func (a *API) rollBack(w http.ResponseWriter, r *http.Request) {
	var request RollbackRequest
	if !read(w, r, &request) {
		return
	}
	revision, err := a.config.Rollback(r.Context(), request.Base, request.To, request.Operator)
	a.answerRevision(w, r, revision, err)
}

// showHistory lists accepted changes from the revision in the query on.
func (a *API) showHistory(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	limit, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil {
		limit = defaultHistory
	}
	changes, err := a.config.History(r.Context(), config.Revision(from), limit)
	if refuse(w, err) {
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

// answerRevision waits until the change is in force. It answers 200 then, and
// 202 for a change that is accepted but not yet known to be in force.
func (a *API) answerRevision(w http.ResponseWriter, r *http.Request, revision config.Revision, err error) {
	if refuse(w, err) {
		return
	}
	standing := a.config.AwaitInForce(r.Context(), revision)
	w.Header().Set("Content-Type", "application/json")
	if !standing.InForce {
		w.WriteHeader(http.StatusAccepted)
	}
	write(w, RevisionAnswer{Revision: revision, Standing: standing})
}
