package operator

import (
	"context"
	"net/http"
	"strings"
)

// Role says what an operator may do.
type Role string

// The roles. An editor may do all that a reader may.
const (
	Reader Role = "reader"
	Editor Role = "editor"
)

// IsValid reports whether the role is known.
func (r Role) IsValid() bool { return r == Reader || r == Editor }

func (r Role) covers(needed Role) bool { return r == Editor || r == needed }

// Identity is an operator who is known by a credential.
type Identity struct {
	Name string
	Role Role
}

// Access finds the operator behind a credential.
type Access interface {
	Identify(credential string) (Identity, bool)
}

// anybody is the operator's name where no credential is asked for.
const anybody = "anybody"

// OpenAccess makes everybody an editor.
type OpenAccess struct{}

// Identify implements Access.
func (OpenAccess) Identify(string) (Identity, bool) {
	return Identity{Name: anybody, Role: Editor}, true
}

type identityKey struct{}

// allow lets requests pass whose operator has a role.
func (a *API) allow(needed Role) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			identity, ok := a.access.Identify(credentialOf(r))
			if !ok {
				w.Header().Set("WWW-Authenticate", "Bearer")
				a.refuse(w, problem(codeCredential, "the operator's credential is missing or not in force"))
				return
			}
			if !identity.Role.covers(needed) {
				a.refuse(w, problem(codeRole, "%s has the role %s, and %s is needed", identity.Name, identity.Role, needed))
				return
			}
			next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, identity)))
		})
	}
}

// credentialOf returns the one bearer credential of a request, or nothing.
func credentialOf(r *http.Request) string {
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

// operatorOf returns the operator's name for the history. Where no credential
// is asked for, the request may name one itself.
func operatorOf(r *http.Request, claimed string) string {
	identity, _ := r.Context().Value(identityKey{}).(Identity)
	if identity.Name == anybody && claimed != "" {
		return claimed
	}
	return identity.Name
}
