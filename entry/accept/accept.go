// Package accept assigns an id to each request and refuses headers that two servers
// could interpret differently.
package accept

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// HeaderRequestID is the name of the header with the request id on every answer.
const HeaderRequestID = "X-Request-Id"

// Filter is the pipeline filter that assigns request ids and checks headers.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

func (f *Filter) Name() string { return "accept" }

// Request sets the id and the arrival time and checks the headers.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.ID = "req-" + uuid.NewString()
	x.ArrivedAt = time.Now()
	x.Writer.Header().Set(HeaderRequestID, x.ID)
	closeAfterChunkedBody(x)
	return checkHeaders(x.Request.Header)
}

func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// closeAfterChunkedBody closes an HTTP/1 connection after a chunked body. If the
// request also has a Content-Length, a load balancer could see a different end of
// the body, and the bytes after it must not be parsed as a request.
func closeAfterChunkedBody(x *pipeline.Exchange) {
	if x.Request.ProtoMajor == 1 && len(x.Request.TransferEncoding) > 0 {
		x.Writer.Header().Set("Connection", "close")
	}
}

// reservedHeaders are headers that only this system may set.
var reservedHeaders = []string{"X-Run-Id", "X-Priority", "X-Resume-Tokens"}

const reservedPrefix = "Flamingospar-"

// connectionOptions are the options allowed in a Connection header.
var connectionOptions = []string{"keep-alive", "close", "te", "upgrade", "http2-settings"}

func checkHeaders(header http.Header) *refusal.Refusal {
	for name := range header {
		switch {
		case strings.Contains(name, "_"):
			return refusal.New(refusal.HeaderInvalid, "the header %q has an underscore in its name", name)
		case strings.HasPrefix(name, reservedPrefix) || slices.Contains(reservedHeaders, name):
			return refusal.New(refusal.HeaderInvalid, "the header %q may be set by this system only", name)
		}
	}
	for _, line := range header.Values("Connection") {
		for option := range strings.SplitSeq(line, ",") {
			option = strings.ToLower(strings.TrimSpace(option))
			if option != "" && !slices.Contains(connectionOptions, option) {
				return refusal.New(refusal.HeaderInvalid, "the Connection header names %q", option)
			}
		}
	}
	return nil
}
