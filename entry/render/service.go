package render

import (
	"net/http"
	"strings"

	"flamingospar.org/entry/pipeline"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}

// ForService returns the answer of a plain service, passed on as it comes.
func ForService(x *pipeline.Exchange) Answer { return &serviceAnswer{x: x} }

type serviceAnswer struct {
	x *pipeline.Exchange
}

func (a *serviceAnswer) Head(head *wirev1.Head) error {
	passed := make(http.Header, len(head.Headers))
	for _, field := range head.Headers {
		passed.Add(field.Name, field.Value)
	}
	StripHopHeaders(passed)
	header := a.x.Writer.Header()
	for name, values := range passed {
		if header.Get(name) == "" {
			header[name] = values
		}
	}
	a.x.AnswerBegun = true
	a.x.Writer.WriteHeader(int(head.Status))
	return nil
}

func (a *serviceAnswer) Chunk(chunk *wirev1.Chunk) error {
	if _, err := a.x.Writer.Write(chunk.Data); err != nil {
		return err
	}
	return http.NewResponseController(a.x.Writer).Flush()
}

func (a *serviceAnswer) Finish(string, *wirev1.Usage) error { return nil }

// StripHopHeaders removes the headers that belong to one connection.
func StripHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
