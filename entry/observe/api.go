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
var templates embed.FS

var statusTemplate = template.Must(template.New("status.html").Funcs(template.FuncMap{
	"percent":   func(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) },
	"megabytes": func(bytes int64) string { return fmt.Sprintf("%d MB", bytes>>20) },
}).ParseFS(templates, "status.html"))

// API serves the read-only routes of the operators' API for status,
// explanations and reconciliation of usage.
type API struct {
	server *Server
	tables tables.Service
}

// NewAPI returns an API over server. service contains the sealed usage windows.
func NewAPI(server *Server, service tables.Service) *API {
	return &API{server: server, tables: service}
}

// Mount adds the routes to router.
func (a *API) Mount(router chi.Router) {
	router.Get("/v1/status", a.status)
	router.Get("/status", a.statusPage)
	router.Get("/v1/explain", a.explain)
	router.Get("/v1/usage/reconcile", a.reconcile)
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, a.server.Status(r.Context()))
}

func (a *API) statusPage(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
	_ = statusTemplate.Execute(w, a.server.Status(r.Context()))
}

func (a *API) explain(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	query := journal.Query{
		Request:  values.Get("request"),
		Team:     values.Get("team"),
		Endpoint: values.Get("endpoint"),
	}
	if query == (journal.Query{}) {
		http.Error(w, "the query names nothing to explain; remedy: add request=ID, endpoint=ID or team=NAME", http.StatusUnprocessableEntity)
		return
	}
	query.Limit, _ = strconv.Atoi(values.Get("limit"))
	writeJSON(w, a.server.Explain(r.Context(), query))
}

func (a *API) reconcile(w http.ResponseWriter, r *http.Request) {
	window, err := strconv.ParseInt(r.URL.Query().Get("window"), 10, 64)
	if err != nil && r.URL.Query().Get("window") != "" {
		http.Error(w, "window is not an integer; remedy: copy it from a report or leave it out", http.StatusUnprocessableEntity)
		return
	}
	result, err := a.server.Reconcile(r.Context(), a.tables, usage.Window(window))
	switch {
	case errors.Is(err, ErrNoSealedWindow):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, result)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
