package observe

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/base/journal"
	"flamingospar.org/core/usage"
	"flamingospar.org/platform/tables"
)

//go:embed status.html
var assets embed.FS

var page = template.Must(template.New("status.html").Funcs(template.FuncMap{
	"percent": func(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) },
	"mega":    func(bytes int64) string { return fmt.Sprintf("%d MB", bytes>>20) },
}).ParseFS(assets, "status.html"))

// API is the read-only part of the operators' interface that this package
// serves.
type API struct {
	server *Server
	tables tables.Service
}

// NewAPI returns the interface over server; service holds the sealed windows.
func NewAPI(server *Server, service tables.Service) *API {
	return &API{server: server, tables: service}
}

// Mount adds the routes.
func (a *API) Mount(router chi.Router) {
	router.Get("/v1/status", a.status)
	router.Get("/status", a.statusPage)
	router.Get("/v1/explain", a.explain)
	router.Get("/v1/usage/reconcile", a.reconcile)
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	answer(w, a.server.Status(r.Context()))
}

func (a *API) statusPage(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_ = page.Execute(w, a.server.Status(r.Context()))
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	query := journal.Query{
		Request:  values.Get("request"),
		Team:     values.Get("team"),
		Endpoint: values.Get("endpoint"),
	}
	if query == (journal.Query{}) {
		http.Error(w, "name what to explain; remedy: add request=ID, endpoint=ID or team=NAME", http.StatusUnprocessableEntity)
		return
	}
	query.Limit, _ = strconv.Atoi(values.Get("limit"))
	answer(w, a.server.Explain(r.Context(), query))
}

func (a *API) reconcile(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.ParseInt(r.URL.Query().Get("window"), 10, 64)
	if err != nil && r.URL.Query().Get("window") != "" {
		http.Error(w, "window is not a number; remedy: take it from a report or leave it out", http.StatusUnprocessableEntity)
		return
	}
	result, err := a.server.Reconcile(r.Context(), a.tables, usage.Window(window))
	switch {
	case errors.Is(err, ErrNothingSealed):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		answer(w, result)
	}
}

func answer(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
