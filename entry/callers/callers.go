// Package callers is the HTTP interface for callers. It routes requests for models
// and all other requests to their filter chains.
package callers

import (
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/entry/models"
)

// Handler returns a handler that passes the paths of models to modelChain and all
// other requests to runChain. Both chains refuse requests in the same format,
// including those with unknown paths and methods.
func Handler(runChain, modelChain http.Handler) http.Handler {
	router := chi.NewRouter()
	router.Handle(models.Path, modelChain)
	router.Handle(models.Path+"/*", modelChain)
	router.Handle("/*", runChain)
	// chi calls this handler for methods that it does not know. The chains refuse
	// them.
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == models.Path || strings.HasPrefix(r.URL.Path, models.Path+"/") {
			modelChain.ServeHTTP(w, r)
			return
		}
		runChain.ServeHTTP(w, r)
	})
	return router
}
