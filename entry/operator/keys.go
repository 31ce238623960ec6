package operator

import (
	"crypto/rand"
	"net/http"
	"slices"
	"sort"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"flamingospar.org/core/config"
	"flamingospar.org/core/key"
)

// KeyRequest is the request body that issues a key.
type KeyRequest struct {
	Team     string `json:"team"`
	Operator string `json:"operator,omitempty"`
}

// KeyResponse describes a key. It contains the key itself only in the response
// to the request that issues it.
type KeyResponse struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Key      string          `json:"key,omitempty"`
	Revision config.Revision `json:"revision,omitempty"`
}

// NewKey returns a new random key for a caller.
func NewKey() string { return newSecret(key.CallerPrefix) }

// NewCredential returns a new random credential for an operator.
func NewCredential() string { return newSecret(key.OperatorPrefix) }

func newSecret(prefix string) string {
	var random [key.RandomBytes]byte
	_, _ = rand.Read(random[:]) // rand.Read never returns an error; it ends the process instead.
	return key.Format(prefix, random)
}

func (a *API) listKeys(w http.ResponseWriter, _ *http.Request) {
	state, ok := a.currentState(w)
	if !ok {
		return
	}
	responses := []KeyResponse{}
	for _, issued := range state.Keys() {
		responses = append(responses, KeyResponse{ID: issued.ID, Team: issued.Team})
	}
	sort.Slice(responses, func(i, j int) bool {
		return responses[i].Team+"/"+responses[i].ID < responses[j].Team+"/"+responses[j].ID
	})
	writeJSON(w, responses)
}

func (a *API) issueKey(w http.ResponseWriter, r *http.Request) {
	var request KeyRequest
	if !a.decodeBody(w, r, &request) {
		return
	}
	state, ok := a.currentState(w)
	if !ok {
		return
	}
	if _, ok := state.Catalogue.FindTeam(request.Team); !ok {
		a.writeProblem(w, newProblem(codeTeam, "no team has the name %q", request.Team))
		return
	}
	secret := NewKey()
	issued := config.Key{ID: "key-" + uuid.NewString(), Team: request.Team, Hash: config.HashKey(secret)}
	revision, err := a.config.Write(r.Context(), 0, config.Change{Operator: operatorName(r, request.Operator), IssueKey: &issued})
	if err != nil {
		a.writeError(w, err)
		return
	}
	writeJSON(w, KeyResponse{ID: issued.ID, Team: issued.Team, Key: secret, Revision: revision})
}

func (a *API) withdrawKey(w http.ResponseWriter, r *http.Request) {
	state, ok := a.currentState(w)
	if !ok {
		return
	}
	id := chi.URLParam(r, "id")
	if !slices.ContainsFunc(state.Keys(), func(k config.Key) bool { return k.ID == id }) {
		a.writeProblem(w, newProblem(codeKey, "no key in force has this id"))
		return
	}
	change := config.Change{Operator: operatorName(r, r.URL.Query().Get("operator")), WithdrawKey: id}
	revision, err := a.config.Write(r.Context(), 0, change)
	a.writeRevision(w, r, revision, err)
}
