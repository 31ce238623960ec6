// Package accept gives each request an id and refuses headers that two servers
// could read in two ways.
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

// HeaderRequestID is set on every answer.
const HeaderRequestID = "X-Request-Id"

// Filter is the accept filter.
type Filter struct{}

// New returns the filter.
func New() *Filter { return &Filter{} }

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "accept" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.ID = "req-" + uuid.NewString()
	x.Arrived = time.Now()
	x.Writer.Header().Set(HeaderRequestID, x.ID)
	closeAfterChunkedBody(x)
	return checkHeaders(x.Request.Header)
}

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

// closeAfterChunkedBody ends an HTTP/1 connection after a chunked body: a
// Content-Length beside it could make a balancer see another end of the body,
// and what follows must not be read as a request.
func closeAfterChunkedBody(x *pipeline.Exchange) {
	if x.Request.ProtoMajor == 1 && len(x.Request.TransferEncoding) > 0 {
		x.Writer.Header().Set("Connection", "close")
	}
}

// reservedHeaders are set by this system only.
var reservedHeaders = []string{"X-Run-Id", "X-Priority", "X-Resume-Tokens"}

const reservedPrefix = "Flamingospar-"

// connectionOptions may be listed in a Connection header.
var connectionOptions = []string{"keep-alive", "close", "te", "upgrade", "http2-settings"}

func checkHeaders(header http.Header) *refusal.Refusal {
	for name := range header {
		switch {
		case strings.Contains(name, "_"):
			return refusal.New(refusal.HeaderInvalid, "the header %q has an underscore in its name", name)
		case strings.HasPrefix(name, reservedPrefix) || slices.Contains(reservedHeaders, name):
			return refusal.New(refusal.HeaderInvalid, "the header %q is set by this system only", name)
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
