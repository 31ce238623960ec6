// Package operator serves operators: catalogue, keys, history, status, metrics
// and health.
package operator

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/config"
	"flamingospar.org/entry/configview"
)

// Config is the configuration that operators read and change.
type Config interface {
	Current() *config.State
	Write(ctx context.Context, base config.Revision, change config.Change) (config.Revision, error)
	Rollback(ctx context.Context, base, to config.Revision, operator string) (config.Revision, error)
	History(ctx context.Context, from config.Revision, limit int) ([]config.Change, error)
	AwaitInForce(ctx context.Context, revision config.Revision) configview.Standing
}

// API is the operators' HTTP interface.
type API struct {
	config Config
	meter  *meter.Registry
	access Access
	ready  func() bool
	// Routes of other parts, for readers and for editors.
	mounts        []func(chi.Router)
	editingMounts []func(chi.Router)
}

// Mount adds routes of another part for operators who may read.
func (a *API) Mount(mount func(chi.Router)) { a.mounts = append(a.mounts, mount) }

// MountEditing adds routes of another part for operators who may write.
func (a *API) MountEditing(mount func(chi.Router)) {
	a.editingMounts = append(a.editingMounts, mount)
}

// New returns the interface. access knows who may do what; ready reports
// whether callers are served.
func New(c Config, registry *meter.Registry, access Access, ready func() bool) *API {
	for _, code := range codes {
		registry.Declare("operators", "refused", string(code))
	}
	return &API{config: c, meter: registry, access: access, ready: ready}
}

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, problem(codeNotFound, "no operators' path %s", r.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		a.refuse(w, problem(codeMethod, "%s does not take the method %s", r.URL.Path, r.Method))
	})
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", a.readyz)
	router.Group(func(readers chi.Router) {
		readers.Use(a.allow(Reader))
		readers.Get("/metrics", a.meter.ServeText)
		readers.Get("/metrics.json", a.meter.ServeJSON)
		readers.Get("/v1/catalogue", a.showCatalogue)
		readers.Post("/v1/catalogue/check", a.checkCatalogue)
		readers.Get("/v1/history", a.showHistory)
		readers.Get("/v1/keys", a.listKeys)
		for _, mount := range a.mounts {
			mount(readers)
		}
	})
	router.Group(func(editors chi.Router) {
		editors.Use(a.allow(Editor))
		editors.Put("/v1/catalogue", a.applyCatalogue)
		editors.Post("/v1/catalogue/rollback", a.rollBack)
		editors.Post("/v1/keys", a.issueKey)
		editors.Delete("/v1/keys/{id}", a.withdrawKey)
		for _, mount := range a.editingMounts {
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
