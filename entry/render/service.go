package render

import (
	"net/http"

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
	header := a.x.Writer.Header()
	for _, field := range head.Headers {
		header.Add(field.Name, field.Value)
	}
	StripHopHeaders(header)
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
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
