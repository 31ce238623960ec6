package operator

import (
	"context"
	"errors"
	"net/http"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/core/claim"
	"flamingospar.org/core/crash"
)

// Claims reads and settles the claims whose outcome is unknown.
type Claims interface {
	Doubtful(ctx context.Context) ([]claim.Row, error)
	Settle(ctx context.Context, team, key, outcome, operator string) error
}

// Crashes reads and clears the marks of requests that crash endpoints.
type Crashes interface {
	Marks() []crash.Mark
	Clear(ctx context.Context, fingerprint crash.Fingerprint) bool
}

// SettleRequest states what became of the run behind a key.
type SettleRequest struct {
	Team     string `json:"team"`
	Key      string `json:"key"`
	Outcome  string `json:"outcome"` // "ran" or "not-run".
	Operator string `json:"operator"`
}

// WithRequests adds the operators' view of single requests.
func (a *API) WithRequests(claims Claims, crashes Crashes) *API {
	a.Mount(func(readers chi.Router) {
		readers.Get("/v1/claims/unknown", a.listClaims(claims))
		readers.Get("/v1/crashes", func(w http.ResponseWriter, _ *http.Request) { write(w, marksOf(crashes)) })
	})
	a.MountEditing(func(editors chi.Router) {
		editors.Post("/v1/claims/settle", a.settleClaim(claims))
		editors.Delete("/v1/crashes/{fingerprint}", a.clearCrash(crashes))
	})
	return a
}

func marksOf(crashes Crashes) []crash.Mark {
	if marks := crashes.Marks(); marks != nil {
		return marks
	}
	return []crash.Mark{}
}

func (a *API) listClaims(claims Claims) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rows, err := claims.Doubtful(r.Context())
		if err != nil {
			a.refuseError(w, err)
			return
		}
		write(w, rows)
	}
}

func (a *API) settleClaim(claims Claims) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request SettleRequest
		if !a.read(w, r, &request) {
			return
		}
		request.Operator = operatorOf(r, request.Operator)
		if err := claims.Settle(r.Context(), request.Team, request.Key, request.Outcome, request.Operator); err != nil {
			a.refuse(w, settleProblem(err))
			return
		}
		write(w, request)
	}
}

// settleProblem tells an operator's mistake from a store that is down.
func settleProblem(err error) *Problem {
	var mistake interface{ Mistake() bool }
	if errors.As(err, &mistake) && mistake.Mistake() {
		return problem(codeClaim, "%v", err)
	}
	return problem(codeUnavailable, "the store did not take the change: %v", err)
}

func (a *API) clearCrash(crashes Crashes) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !crashes.Clear(r.Context(), crash.Fingerprint(chi.URLParam(r, "fingerprint"))) {
			a.refuse(w, problem(codeMark, "no request with this fingerprint has a mark"))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
