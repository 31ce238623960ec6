// Package faultsapi provides an HTTP handler to inject faults into a stand-in that
// runs in another process: GET returns the current faults, PUT replaces them.
package faultsapi

import (
	"encoding/json"
	"net/http"
)

// Path is the path at which a stand-in serves its faults.
const Path = "/faults"

const maxBodyBytes = 1 << 16

// Handler returns a handler that gets and sets faults of type T as JSON. A PUT
// with an unknown field is rejected.
func Handler[T any](current func() T, set func(T)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			var faults T
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&faults); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			set(faults)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(current())
	})
}
