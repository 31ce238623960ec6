// Package callers is the callers' HTTP interface: it hands the list of models
// and all other requests to their chains of filters.
package callers

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/entry/models"
)

// Handler serves the paths of models by modelChain and all else by runChain.
// Both refuse in the same shape, also unknown paths and methods.
func Handler(runChain, modelChain http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Handle(models.Path, modelChain)
	router.Handle(models.Path+"/*", modelChain)
	router.Handle("/*", runChain)
	// chi knows the usual methods only; the chains refuse all others.
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == models.Path || strings.HasPrefix(r.URL.Path, models.Path+"/") {
			modelChain.ServeHTTP(w, r)
			return
		}
		runChain.ServeHTTP(w, r)
	})
	return router
}
