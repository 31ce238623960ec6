package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/core/claim"
	"flamingospar.org/core/crash"
)

// Claims lists and settles the claims whose outcome is unknown.
type Claims interface {
	ListUnknown(ctx context.Context) ([]claim.Row, error)
	Settle(ctx context.Context, team, key, outcome, operator string) error
}

// Crashes lists and clears the marks of requests that crash endpoints.
type Crashes interface {
	Marks() []crash.Mark
	Clear(ctx context.Context, fingerprint crash.Fingerprint) bool
}

// SettleRequest sets the outcome of the run that was submitted under an
// idempotency key.
type SettleRequest struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	Outcome  string `json:"outcome"` // "ran" or "not-run".
	Operator string `json:"operator"`
}

// WithClaimsAndCrashes adds the routes for claims and crash marks and returns a.
func (a *API) WithClaimsAndCrashes(claims Claims, crashes Crashes) *API {
	a.Mount(func(readers chi.Router) {
		readers.Get("/v1/claims/unknown", a.listClaims(claims))
		readers.Get("/v1/crashes", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, crashMarks(crashes)) })
	})
	a.MountForEditors(func(editors chi.Router) {
		editors.Post("/v1/claims/settle", a.settleClaim(claims))
		editors.Delete("/v1/crashes/{fingerprint}", a.clearCrash(crashes))
	})
	return a
}

func crashMarks(crashes Crashes) []crash.Mark {
	if marks := crashes.Marks(); marks != nil {
		return marks
	}
	return []crash.Mark{}
}

func (a *API) listClaims(claims Claims) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rows, err := claims.ListUnknown(r.Context())
		if err != nil {
			a.writeError(w, err)
			return
		}
		writeJSON(w, rows)
	}
}

func (a *API) settleClaim(claims Claims) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request SettleRequest
		if !a.decodeBody(w, r, &request) {
			return
		}
		request.Operator = operatorName(r, request.Operator)
		if err := claims.Settle(r.Context(), request.Team, request.Key, request.Outcome, request.Operator); err != nil {
			a.writeProblem(w, settleProblem(err))
			return
		}
		writeJSON(w, request)
	}
}

// settleProblem distinguishes an operator's mistake from a store that is down.
func settleProblem(err error) *Problem {
	var clientError interface{ Mistake() bool }
	if errors.As(err, &clientError) && clientError.Mistake() {
		return newProblem(codeClaim, "%v", err)
	}
	return newProblem(codeUnavailable, "the store did not accept the change: %v", err)
}

func (a *API) clearCrash(crashes Crashes) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !crashes.Clear(r.Context(), crash.Fingerprint(chi.URLParam(r, "fingerprint"))) {
			a.writeProblem(w, newProblem(codeMark, "no request with this fingerprint has a mark"))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
