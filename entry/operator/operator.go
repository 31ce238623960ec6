// Package operator implements the HTTP API for operators: catalogue, keys,
// history, claims, crashes, metrics and health. Other packages mount more routes.
package operator

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
)

// Config reads and changes the configuration.
type Config interface {
	Current() *config.State
	Write(ctx context.Context, base config.Revision, change config.Change) (config.Revision, error)
	Rollback(ctx context.Context, base, to config.Revision, operator string) (config.Revision, error)
	History(ctx context.Context, from config.Revision, limit int) ([]config.Change, error)
	AwaitInForce(ctx context.Context, revision config.Revision) configview.Propagation
}

// API is the HTTP API for operators.
type API struct {
	config Config
	meter  *meter.Registry
	access Access
	ready  func() bool
	// Routes of other packages, by the role that they require.
	readerMounts []func(chi.Router)
	editorMounts []func(chi.Router)
}

// Mount adds routes of another package that require the reader role.
func (a *API) Mount(mount func(chi.Router)) { a.readerMounts = append(a.readerMounts, mount) }

// MountForEditors adds routes of another package that require the editor role.
func (a *API) MountForEditors(mount func(chi.Router)) {
	a.editorMounts = append(a.editorMounts, mount)
}

// New returns an API that authenticates operators with access. ready reports
// whether the entry serves callers.
func New(c Config, registry *meter.Registry, access Access, ready func() bool) *API {
	for _, code := range codes {
		registry.Declare("operators", "refused", string(code))
	}
	return &API{config: c, meter: registry, access: access, ready: ready}
}

// Handler returns the handler for all routes that were added before the call.
func (a *API) Handler() http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		a.writeProblem(w, newProblem(codeNotFound, "the operators' API has no path %s", r.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		a.writeProblem(w, newProblem(codeMethod, "%s does not allow the method %s", r.URL.Path, r.Method))
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", a.readyz)
	router.Group(func(readers chi.Router) {
		readers.Use(a.requireRole(Reader))
		readers.Get("/metrics", a.meter.ServeText)
		readers.Get("/metrics.json", a.meter.ServeJSON)
		readers.Get("/v1/catalogue", a.showCatalogue)
		readers.Post("/v1/catalogue/check", a.checkCatalogue)
		readers.Get("/v1/history", a.showHistory)
		readers.Get("/v1/keys", a.listKeys)
		for _, mount := range a.readerMounts {
			mount(readers)
		}
	})
	router.Group(func(editors chi.Router) {
		editors.Use(a.requireRole(Editor))
		editors.Put("/v1/catalogue", a.applyCatalogue)
		editors.Post("/v1/catalogue/rollback", a.rollBack)
		editors.Post("/v1/keys", a.issueKey)
		editors.Delete("/v1/keys/{id}", a.withdrawKey)
		for _, mount := range a.editorMounts {
			mount(editors)
		}
	})
	return router
}

func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
