package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"flamingospar.org/platform/capacity"
	"flamingospar.org/platform/objects"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagereport"
	"flamingospar.org/standin/faultsapi"
)

// Handler returns a handler that serves the platform's interfaces over HTTP.
// Faults apply to the table service and the object store only.
func (p *Platform) Handler() http.Handler {
	router := chi.NewRouter()
	router.Group(func(store chi.Router) {
		store.Use(p.withFaults)
		store.Get("/tables/row", p.getRow)
		store.Get("/tables/scan", p.scanRows)
		store.Post("/tables/commit", p.commit)
		store.Put("/objects/{name}", p.putObject)
		store.Get("/objects/{name}", p.getObject)
		store.Delete("/objects/{name}", p.deleteObject)
	})
	router.Handle(faultsapi.Path, faultsapi.Handler(p.currentFaultsBody, p.applyFaultsBody))
	router.Get("/weights/{model}/{version}", p.getWeights)
	router.Get("/vms", p.listVMs)
	router.Put("/capacity/orders/{id}", p.placeOrder)
	router.Post("/usage/reports", p.receiveReport)
	return router
}

// withFaults is middleware that applies the current faults to each request.
func (p *Platform) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := p.CurrentFaults()
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if faults.Delay > 0 {
			time.Sleep(faults.Delay)
		}
		if faults.LoseResponses && r.Method != http.MethodGet {
			next.ServeHTTP(discardingWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// discardingWriter is an http.ResponseWriter that drops the response.
type discardingWriter struct{ header http.Header }

func (d discardingWriter) Header() http.Header            { return d.header }
func (d discardingWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d discardingWriter) WriteHeader(int)                {}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	key := tables.Key{Table: r.URL.Query().Get("table"), Row: r.URL.Query().Get("row")}
	row, err := p.Tables.Get(r.Context(), key)
	writeResponse(w, row, err)
}

func (p *Platform) scanRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		http.Error(w, "limit must be an integer", http.StatusBadRequest)
		return
	}
	rows, err := p.Tables.Scan(r.Context(), query.Get("table"), query.Get("prefix"), query.Get("start"), limit)
	writeResponse(w, rows, err)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var txn tables.Txn
	if !decodeBody(w, r, &txn) {
		return
	}
	writeResponse(w, struct{}{}, p.Tables.Commit(r.Context(), txn))
}

type objectBody struct {
	Data []byte `json:"data"`
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	var body objectBody
	if !decodeBody(w, r, &body) {
		return
	}
	writeResponse(w, struct{}{}, p.Put(r.Context(), chi.URLParam(r, "name"), body.Data))
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	data, err := p.Get(r.Context(), chi.URLParam(r, "name"))
	writeResponse(w, objectBody{Data: data}, err)
}

func (p *Platform) deleteObject(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, struct{}{}, p.Delete(r.Context(), chi.URLParam(r, "name")))
}

func (p *Platform) listVMs(w http.ResponseWriter, r *http.Request) {
	list, err := p.VMs(r.Context())
	writeResponse(w, list, err)
}

func (p *Platform) placeOrder(w http.ResponseWriter, r *http.Request) {
	var order capacity.Order
	if !decodeBody(w, r, &order) {
		return
	}
	writeResponse(w, struct{}{}, p.Place(r.Context(), order))
}

func (p *Platform) receiveReport(w http.ResponseWriter, r *http.Request) {
	var report usagereport.Report
	if !decodeBody(w, r, &report) {
		return
	}
	writeResponse(w, struct{}{}, p.Report(r.Context(), report))
}

// decodeBody reads the JSON request body into dst. If that fails, it replies with
// status 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, dst any) bool {
	if err := json.NewDecoder(r.Body).Decode(dst); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeResponse writes body as JSON, or an error response if err is not nil.
func writeResponse(w http.ResponseWriter, body any, err error) {
	switch {
	case errors.Is(err, tables.ErrNotFound), errors.Is(err, objects.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(body)
	}
}
