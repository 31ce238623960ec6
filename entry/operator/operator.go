// Package operator serves operators: catalogue, keys, metrics and health.
package operator

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/catalogue"
	"flamingospar.org/core/config"
	"flamingospar.org/core/key"
	"flamingospar.org/entry/configview"
)

const maxBodyBytes = 8 << 20

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
	token  string
	ready  func() bool
	mounts []func(chi.Router)
}

// Mount adds routes of another part behind the operators' token.
func (a *API) Mount(mount func(chi.Router)) { a.mounts = append(a.mounts, mount) }

// New returns the interface. An empty token lets everybody in; ready reports
// whether callers are served.
func New(c Config, registry *meter.Registry, token string, ready func() bool) *API {
	return &API{config: c, meter: registry, token: token, ready: ready}
}

// Handler returns the HTTP handler.
func (a *API) Handler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	router.Get("/readyz", a.readyz)
	router.Group(func(private chi.Router) {
		private.Use(a.authorize)
		private.Get("/metrics", a.meter.ServeText)
		private.Get("/metrics.json", a.meter.ServeJSON)
		private.Get("/v1/catalogue", a.showCatalogue)
		private.Put("/v1/catalogue", a.applyCatalogue)
		private.Post("/v1/catalogue/rollback", a.rollBack)
		private.Get("/v1/history", a.showHistory)
		private.Get("/v1/keys", a.listKeys)
		private.Post("/v1/keys", a.issueKey)
		private.Delete("/v1/keys/{id}", a.withdrawKey)
		for _, mount := range a.mounts {
			mount(private)
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

func (a *API) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if a.token != "" && subtle.ConstantTimeCompare([]byte(given), []byte(a.token)) != 1 {
			http.Error(w, "operator token is missing or wrong", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// CatalogueAnswer is the answer to a read of the catalogue.
type CatalogueAnswer struct {
	Revision  config.Revision     `json:"revision"`
	Catalogue *catalogue.Document `json:"catalogue"`
}

// CatalogueChange is the body of a write of the catalogue. Base is the revision
// that the operator saw; 0 means any.
type CatalogueChange struct {
	Base      config.Revision     `json:"base"`
	Operator  string              `json:"operator"`
	Catalogue *catalogue.Document `json:"catalogue"`
}

// RevisionAnswer tells which revision a change became and how far it has come.
type RevisionAnswer struct {
	Revision config.Revision `json:"revision"`
	configview.Standing
}

// KeyRequest asks for a new key.
type KeyRequest struct {
	Team     string `json:"team"`
	Operator string `json:"operator"`
}

// KeyAnswer shows a new key, once.
type KeyAnswer struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Key      string          `json:"key,omitempty"`
	Revision config.Revision `json:"revision,omitempty"`
}

func (a *API) showCatalogue(w http.ResponseWriter, _ *http.Request) {
	state := a.config.Current()
	if state == nil {
		http.Error(w, "no configuration is held", http.StatusServiceUnavailable)
		return
	}
	write(w, CatalogueAnswer{Revision: state.Revision, Catalogue: state.Catalogue})
}

func (a *API) applyCatalogue(w http.ResponseWriter, r *http.Request) {
	var change CatalogueChange
	if !read(w, r, &change) {
		return
	}
	revision, err := a.config.Write(r.Context(), change.Base, config.Change{Operator: change.Operator, Catalogue: change.Catalogue})
	a.answerRevision(w, r, revision, err)
}

func (a *API) listKeys(w http.ResponseWriter, _ *http.Request) {
	state := a.config.Current()
	if state == nil {
		http.Error(w, "no configuration is held", http.StatusServiceUnavailable)
		return
	}
	answers := []KeyAnswer{}
	for _, key := range state.Keys() {
		answers = append(answers, KeyAnswer{ID: key.ID, Team: key.Team})
	}
	write(w, answers)
}

func (a *API) issueKey(w http.ResponseWriter, r *http.Request) {
	var request KeyRequest
	if !read(w, r, &request) {
		return
	}
	state := a.config.Current()
	if state == nil {
		http.Error(w, "no configuration is held", http.StatusServiceUnavailable)
		return
	}
	if _, ok := state.Catalogue.FindTeam(request.Team); !ok {
		http.Error(w, "no team has the name "+strconv.Quote(request.Team), http.StatusUnprocessableEntity)
		return
	}
	secret := NewKey()
	issued := config.Key{ID: "key-" + uuid.NewString(), Team: request.Team, Hash: config.HashKey(secret)}
	revision, err := a.config.Write(r.Context(), 0, config.Change{Operator: request.Operator, IssueKey: &issued})
	if refuse(w, err) {
		return
	}
	write(w, KeyAnswer{ID: issued.ID, Team: issued.Team, Key: secret, Revision: revision})
}

// NewKey returns a fresh caller's key.
func NewKey() string {
	var random [key.RandomBytes]byte
	_, _ = rand.Read(random[:])
	return key.Format(key.CallerPrefix, random)
}

func (a *API) withdrawKey(w http.ResponseWriter, r *http.Request) {
	change := config.Change{Operator: r.URL.Query().Get("operator"), WithdrawKey: chi.URLParam(r, "id")}
	revision, err := a.config.Write(r.Context(), 0, change)
	a.answerRevision(w, r, revision, err)
}

func read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return false
	}
	return true
}

func write(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func refuse(w http.ResponseWriter, err error) bool {
	switch {
	case err == nil:
		return false
	case errors.Is(err, configview.ErrRaced), errors.Is(err, config.ErrKeyExists), errors.Is(err, configview.ErrIDReused):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, config.ErrKeyUnknown), errors.Is(err, configview.ErrNoCatalogue):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, config.ErrEmpty):
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
	return true
}
