package claim

import (
	"maps"
	"net/http"

	core "flamingospar.org/core/claim"
	"flamingospar.org/entry/pipeline"
)

// recorder copies an answer while it is sent. It hides failed writes to the
// caller, since the run continues and its answer is stored.
type recorder struct {
	http.ResponseWriter
	status   int
	body     []byte
	dropped  bool
	writeErr error // The first failed write to the caller.
}

// newRecorder returns a recorder that replaces the exchange's writer.
func newRecorder(x *pipeline.Exchange) *recorder {
	r := &recorder{ResponseWriter: x.Writer}
	x.Writer = r
	return r
}

func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write records data and forwards it to the caller. It never fails.
func (r *recorder) Write(data []byte) (int, error) {
	if len(r.body)+len(data) > maxStoredBodyBytes {
		r.dropped = true
		r.body = nil
	}
	if !r.dropped {
		r.body = append(r.body, data...)
	}
	if r.writeErr == nil {
		_, r.writeErr = r.ResponseWriter.Write(data)
	}
	return len(data), nil
}

// FlushError is called by http.ResponseController.
func (r *recorder) FlushError() error {
	if r.writeErr == nil {
		r.writeErr = http.NewResponseController(r.ResponseWriter).Flush()
	}
	return nil
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// isComplete reports whether the endpoint's whole answer was recorded.
func (r *recorder) isComplete(x *pipeline.Exchange) bool { return x.Refused == nil && r.status != 0 }

func (r *recorder) answer() core.Answer {
	headers := maps.Clone(map[string][]string(r.Header()))
	delete(headers, "X-Request-Id")
	delete(headers, "Connection")
	return core.Answer{Status: r.status, Headers: headers, Body: r.body, Dropped: r.dropped}
}
