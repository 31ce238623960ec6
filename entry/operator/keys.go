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

// KeyRequest asks for a new key.
type KeyRequest struct {
	Team     string `json:"team"`
	Operator string `json:"operator,omitempty"`
}

// KeyAnswer describes a key. The key itself is shown once, when it is issued.
type KeyAnswer struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Key      string          `json:"key,omitempty"`
	Revision config.Revision `json:"revision,omitempty"`
}

// NewKey returns a fresh caller's key.
func NewKey() string { return newSecret(key.CallerPrefix) }

// NewCredential returns a fresh operator's credential.
func NewCredential() string { return newSecret(key.OperatorPrefix) }

func newSecret(prefix string) string {
	var random [key.RandomBytes]byte
	_, _ = rand.Read(random[:]) // Never fails: it ends the process instead.
	return key.Format(prefix, random)
}

func (a *API) listKeys(w http.ResponseWriter, _ *http.Request) {
	state, ok := a.current(w)
	if !ok {
		return
	}
	answers := []KeyAnswer{}
	for _, issued := range state.Keys() {
		answers = append(answers, KeyAnswer{ID: issued.ID, Team: issued.Team})
	}
	sort.Slice(answers, func(i, j int) bool {
		return answers[i].Team+"/"+answers[i].ID < answers[j].Team+"/"+answers[j].ID
	})
	write(w, answers)
}

func (a *API) issueKey(w http.ResponseWriter, r *http.Request) {
	var request KeyRequest
	if !a.read(w, r, &request) {
		return
	}
	state, ok := a.current(w)
	if !ok {
		return
	}
	if _, ok := state.Catalogue.FindTeam(request.Team); !ok {
		a.refuse(w, problem(codeTeam, "no team has the name %q", request.Team))
		return
	}
	secret := NewKey()
	issued := config.Key{ID: "key-" + uuid.NewString(), Team: request.Team, Hash: config.HashKey(secret)}
	revision, err := a.config.Write(r.Context(), 0, config.Change{Operator: operatorOf(r, request.Operator), IssueKey: &issued})
	if err != nil {
		a.refuseError(w, err)
		return
	}
	write(w, KeyAnswer{ID: issued.ID, Team: issued.Team, Key: secret, Revision: revision})
}

func (a *API) withdrawKey(w http.ResponseWriter, r *http.Request) {
	state, ok := a.current(w)
	if !ok {
		return
	}
	id := chi.URLParam(r, "id")
	if !slices.ContainsFunc(state.Keys(), func(k config.Key) bool { return k.ID == id }) {
		a.refuse(w, problem(codeKey, "no key in force has that id"))
		return
	}
	change := config.Change{Operator: operatorOf(r, r.URL.Query().Get("operator")), WithdrawKey: id}
	revision, err := a.config.Write(r.Context(), 0, change)
	a.answerRevision(w, r, revision, err)
}
