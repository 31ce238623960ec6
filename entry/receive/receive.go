// Package receive reads the body of an authenticated request within limits on size
// and time, and refuses a body that contains a caller's key.
package receive

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"flamingospar.org/core/key"
	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// Filter is the pipeline filter that reads the body.
type Filter struct {
	maxBodyBytes int64
	bodyTimeout  time.Duration
}

// New returns the filter. bodyTimeout is the time from a request's arrival until
// its body must have been read.
func New(maxBodyBytes int64, bodyTimeout time.Duration) *Filter {
	return &Filter{maxBodyBytes: maxBodyBytes, bodyTimeout: bodyTimeout}
}

func (f *Filter) Name() string { return "receive" }

// Request reads the body into x.Body.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	if x.Request.ContentLength > f.maxBodyBytes {
		return tooLarge(f.maxBodyBytes)
	}
	controller := http.NewResponseController(x.Writer)
	_ = controller.SetReadDeadline(x.ArrivedAt.Add(f.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, f.maxBodyBytes))
	if err != nil {
		return bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	if key.ContainsCallerKey(body) {
		return refusal.New(refusal.KeyMisplaced, "the body contains a key")
	}
	x.Body = body
	return nil
}

func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func bodyRefusal(err error) *refusal.Refusal {
	var limit *http.MaxBytesError
	if errors.As(err, &limit) {
		return tooLarge(limit.Limit)
	}
	var network net.Error
	if errors.As(err, &network) && network.Timeout() {
		return refusal.New(refusal.BodySlow, "the body did not arrive in time")
	}
	return refusal.New(refusal.BodyIncomplete, "the body could not be read completely: %v", err)
}

func tooLarge(limit int64) *refusal.Refusal {
	return refusal.New(refusal.BodyTooLarge, "the body has more than %d bytes", limit)
}
