package operator

import (
	"context"
	"net/http"
	"strings"
)

// Role is the set of operations that an operator may perform.
type Role string

// An editor may do everything that a reader may.
const (
	Reader Role = "reader"
	Editor Role = "editor"
)

// IsValid reports whether r is a known role.
func (r Role) IsValid() bool { return r == Reader || r == Editor }

func (r Role) covers(required Role) bool { return r == Editor || r == required }

// Identity is an operator who was authenticated by a credential.
type Identity struct {
	Name string
	Role Role
}

// Access authenticates operators.
type Access interface {
	Identify(credential string) (Identity, bool)
}

// anonymousOperator is the operator's name if no credential is required.
const anonymousOperator = "anybody"

// OpenAccess requires no credential and gives every operator the editor role.
type OpenAccess struct{}

// Identify returns the anonymous operator for any credential.
func (OpenAccess) Identify(string) (Identity, bool) {
	return Identity{Name: anonymousOperator, Role: Editor}, true
}

type identityKey struct{}

// requireRole returns middleware that rejects requests of operators who lack
// the required role.
func (a *API) requireRole(required Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			identity, ok := a.access.Identify(bearerCredential(r))
			if !ok {
				w.Header().Set("WWW-Authenticate", "Bearer")
				a.writeProblem(w, newProblem(codeCredential, "the operator's credential is missing or not valid"))
				return
			}
			if !identity.Role.covers(required) {
				a.writeProblem(w, newProblem(codeRole, "%s has the role %s, and the role %s is required", identity.Name, identity.Role, required))
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, identity)))
		})
	}
}

// bearerCredential returns the bearer credential of a request, or "" if the
// request doesn't have exactly one Authorization header with the scheme Bearer.
func bearerCredential(r *http.Request) string {
	values := r.Header.Values("Authorization")
	if len(values) != 1 {
		return ""
	}
	scheme, credential, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, "bearer") {
		return ""
	}
	return strings.TrimSpace(credential)
}

// operatorName returns the operator's name for the history. If no credential is
// required, this is the name that the request gives, if any.
func operatorName(r *http.Request, claimed string) string {
	identity, _ := r.Context().Value(identityKey{}).(Identity)
	if identity.Name == anonymousOperator && claimed != "" {
		return claimed
	}
	return identity.Name
}
