// Package receive reads the body of an authenticated request within limits of
// size and time, and refuses one that holds a caller's key.
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

// Filter is the receive filter.
type Filter struct {
	maxBody  int64
	bodyTime time.Duration
}

// New returns the filter. maxBody is in bytes; bodyTime bounds the time from a
// request's arrival to the end of its body.
func New(maxBody int64, bodyTime time.Duration) *Filter {
	return &Filter{maxBody: maxBody, bodyTime: bodyTime}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "receive" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	if x.Request.ContentLength > f.maxBody {
		return tooLarge(f.maxBody)
	}
	controller := http.NewResponseController(x.Writer)
	_ = controller.SetReadDeadline(x.Arrived.Add(f.bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, f.maxBody))
	if err != nil {
		return bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	if key.ContainsCallerKey(body) {
		return refusal.New(refusal.KeyMisplaced, "the body holds a key")
	}
	x.Body = body
	return nil
}

// Response implements pipeline.Filter.
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
	return refusal.New(refusal.BodyIncomplete, "the body broke off: %v", err)
}

func tooLarge(limit int64) *refusal.Refusal {
	return refusal.New(refusal.BodyTooLarge, "the body has more than %d bytes", limit)
}
