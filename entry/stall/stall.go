// Package stall limits how long a response write may block, so that a caller
// whose connection is dead does not hold resources for long.
package stall

import (
	"net/http"
	"time"
)

// WriteTimeout is the deadline of each write of a response.
const WriteTimeout = 20 * time.Second

// Handler wraps next so that each write of its response has WriteTimeout to
// complete.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writer := &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
		// A reused connection may still have the deadline of the previous response.
		_ = writer.controller.SetWriteDeadline(time.Time{})
		next.ServeHTTP(writer, r)
	})
}

type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader extends the write deadline and sends the status code.
func (w *deadlineWriter) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write extends the write deadline and writes data.
func (w *deadlineWriter) Write(data []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(data)
}

func (w *deadlineWriter) extendDeadline() {
	_ = w.controller.SetWriteDeadline(time.Now().Add(WriteTimeout))
}
