// Package callers is the callers' HTTP interface: the pipeline, and the list of
// models.
package callers

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/entry/authenticate"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// Handler serves the models list and passes all else to chain.
func Handler(chain http.Handler, config authenticate.Config) http.Handler {
	router := chi.NewRouter()
	router.Get("/v1/models", func(w http.ResponseWriter, _ *http.Request) { listModels(w, config) })
	router.Handle("/*", chain)
	return router
}

func listModels(w http.ResponseWriter, config authenticate.Config) {
	state := config.Current()
	if state == nil {
		http.Error(w, "no configuration is held", http.StatusServiceUnavailable)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range state.Catalogue.Models {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model", OwnedBy: model.Owner})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
