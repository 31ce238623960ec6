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
	a.Mount(func(router chi.Router) {
		router.Get("/v1/claims/unknown", listClaims(claims))
		router.Post("/v1/claims/settle", settleClaim(claims))
		router.Get("/v1/crashes", func(w http.ResponseWriter, _ *http.Request) { write(w, marksOf(crashes)) })
		router.Delete("/v1/crashes/{fingerprint}", clearCrash(crashes))
	})
	return a
}

func marksOf(crashes Crashes) []crash.Mark {
	if marks := crashes.Marks(); marks != nil {
		return marks
	}
	return []crash.Mark{}
}

func listClaims(claims Claims) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		rows, err := claims.Doubtful(r.Context())
		if refuse(w, err) {
			return
		}
		write(w, rows)
	}
}

func settleClaim(claims Claims) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request SettleRequest
		if !read(w, r, &request) {
			return
		}
		if err := claims.Settle(r.Context(), request.Team, request.Key, request.Outcome, request.Operator); err != nil {
			http.Error(w, err.Error(), settleStatus(err))
			return
		}
		write(w, request)
	}
}

// settleStatus tells an operator's mistake from a store that is down.
func settleStatus(err error) int {
	var mistake interface{ Mistake() bool }
	if errors.As(err, &mistake) && mistake.Mistake() {
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

func clearCrash(crashes Crashes) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !crashes.Clear(r.Context(), crash.Fingerprint(chi.URLParam(r, "fingerprint"))) {
			http.Error(w, "no request with this fingerprint has a mark", http.StatusNotFound)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}
}
