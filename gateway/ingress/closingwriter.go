package ingress

import (
	"context"
	"net/http"
)

// closingWriter tells the caller with the header of the response that its connection is
// closed after it, if EndReuse was called by then.
type closingWriter struct {
	http.ResponseWriter
	ctx context.Context // Of the request.
}

// WriteHeader writes the header of the response.
func (w closingWriter) WriteHeader(status int) {
	if reuseEnded(w.ctx) {
		w.Header().Set("Connection", "close")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap is for http.ResponseController.
func (w closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
