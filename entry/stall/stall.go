// Package stall bounds how long a caller may take no byte of its answer, so
// that a caller whose connection went silent holds nothing for long.
package stall

import (
	"net/http"
	"time"
)

// Limit is the longest time without progress in writing an answer.
const Limit = 20 * time.Second

// Handler returns next with the limit on each write.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limited := &writer{ResponseWriter: w, controller: http.NewResponseController(w)}
		// The connection may carry the deadline of an earlier answer.
		_ = limited.controller.SetWriteDeadline(time.Time{})
		next.ServeHTTP(limited, r)
	})
}

type writer struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Unwrap lets http.ResponseController reach the connection.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.extend()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (w *writer) Write(data []byte) (int, error) {
	w.extend()
	return w.ResponseWriter.Write(data)
}

func (w *writer) extend() { _ = w.controller.SetWriteDeadline(time.Now().Add(Limit)) }
