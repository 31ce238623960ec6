package claim

import (
	"maps"
	"net/http"

	core "flamingospar.org/core/claim"
	"flamingospar.org/entry/pipeline"
)

// recorder copies an answer while it is sent. It hides that the caller takes no
// more, since the run goes on to its end and its answer is stored.
type recorder struct {
	http.ResponseWriter
	status  int
	body    []byte
	dropped bool
	gone    error // Why the caller takes no more.
}

// record puts a recorder before the exchange's writer.
func record(x *pipeline.Exchange) *recorder {
	r := &recorder{ResponseWriter: x.Writer}
	x.Writer = r
	return r
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (r *recorder) Write(data []byte) (int, error) {
	if len(r.body)+len(data) > maxAnswerBytes {
		r.dropped = true
		r.body = nil
	}
	if !r.dropped {
		r.body = append(r.body, data...)
	}
	if r.gone == nil {
		_, r.gone = r.ResponseWriter.Write(data)
	}
	return len(data), nil
}

// FlushError implements what http.ResponseController looks for.
func (r *recorder) FlushError() error {
	if r.gone == nil {
		r.gone = http.NewResponseController(r.ResponseWriter).Flush()
	}
	return nil
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// whole reports whether the endpoint's whole answer was recorded.
func (r *recorder) whole(x *pipeline.Exchange) bool { return x.Refused == nil && r.status != 0 }

func (r *recorder) answer() core.Answer {
	headers := maps.Clone(map[string][]string(r.Header()))
	delete(headers, "X-Request-Id")
	delete(headers, "Connection")
	return core.Answer{Status: r.status, Headers: headers, Body: r.body, Dropped: r.dropped}
}
