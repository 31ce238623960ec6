package render

import (
	"net/http"
	"strings"

	"flamingospar.org/entry/pipeline"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// ForService returns a Response that forwards the response of a plain service
// as it arrives.
func ForService(x *pipeline.Exchange) Response { return &serviceResponse{x: x} }

type serviceResponse struct {
	x *pipeline.Exchange
}

func (r *serviceResponse) Head(head *wirev1.Head) error {
	forwarded := make(http.Header, len(head.Headers))
	for _, field := range head.Headers {
		forwarded.Add(field.Name, field.Value)
	}
	StripHopByHopHeaders(forwarded)
	header := r.x.Writer.Header()
	for name, values := range forwarded {
		if header.Get(name) == "" {
			header[name] = values
		}
	}
	r.x.ResponseStarted = true
	r.x.Writer.WriteHeader(int(head.Status))
	return nil
}

func (r *serviceResponse) Chunk(chunk *wirev1.Chunk) error {
	if _, err := r.x.Writer.Write(chunk.Data); err != nil {
		return err
	}
	return http.NewResponseController(r.x.Writer).Flush()
}

func (r *serviceResponse) Finish(string, *wirev1.Usage) error { return nil }

// StripHopByHopHeaders removes the hop-by-hop headers, including those named by
// the Connection header.
func StripHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}
