// Package faultsapi lets a stand-in in a process of its own be given faults:
// GET shows those in force, PUT replaces them.
package faultsapi

import (
	"encoding/json"
	"net/http"
)

// Path is where a stand-in offers its faults.
const Path = "/faults"

const maxBodyBytes = 1 << 16

// Handler serves the faults of type T, which have JSON fields.
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
