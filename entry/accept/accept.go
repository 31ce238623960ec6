// Package accept gives each request an id and reads its body within limits.
package accept

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"flamingospar.org/core/refusal"
	"flamingospar.org/entry/pipeline"
)

// HeaderRequestID is set on every answer.
const HeaderRequestID = "X-Request-Id"

// Filter is the accept filter.
type Filter struct {
	maxBody  int64
	bodyTime time.Duration
}

// New returns the filter. maxBody is in bytes; bodyTime bounds the reading.
func New(maxBody int64, bodyTime time.Duration) *Filter {
	return &Filter{maxBody: maxBody, bodyTime: bodyTime}
}

// Name implements pipeline.Filter.
func (f *Filter) Name() string { return "accept" }

// Request implements pipeline.Filter.
func (f *Filter) Request(_ context.Context, x *pipeline.Exchange) *refusal.Refusal {
	x.ID = "req-" + uuid.NewString()
	x.Arrived = time.Now()
	x.Writer.Header().Set(HeaderRequestID, x.ID)
	controller := http.NewResponseController(x.Writer)
	_ = controller.SetReadDeadline(x.Arrived.Add(f.bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(x.Writer, x.Request.Body, f.maxBody))
	if err != nil {
		return bodyRefusal(err)
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.Body = body
	return nil
}

// Response implements pipeline.Filter.
func (f *Filter) Response(context.Context, *pipeline.Exchange) {}

func bodyRefusal(err error) *refusal.Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal.New(refusal.BodyTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return refusal.New(refusal.BodySlow, "the body did not arrive: %v", err)
}
