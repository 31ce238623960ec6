package relay

import (
	"context"
	"fmt"
	"time"

	"flamingospar.org/core/availability"
	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// errRateLimited means that the rate limit of an endpoint was used up between its
// selection and the call.
var errRateLimited = fmt.Errorf("%w: the rate limit that it states is used up", transport.ErrNotSent)

// choosePlain selects an endpoint of a plain service. If only endpoints whose rate limit
// is used up are left, it asks for a permit.
func (r *Relay) choosePlain(ctx context.Context, job *Job, p *progress) (endpoint site.Endpoint, done engines.PlainDone, ok bool) {
	if endpoint, done, ok = r.Selector.ChoosePlain(job.Caller.ID, job.Service, p.excluded); ok {
		return endpoint, done, true
	}
	p.PassedOver = r.Selector.PassedOverPlain(job.Service, p.excluded)
	if p.PassedOver.Ask == "" || !r.Limits.Acquire(ctx, p.PassedOver.Ask) {
		return site.Endpoint{}, nil, false
	}
	return r.Selector.ChoosePlain(job.Caller.ID, job.Service, p.excluded)
}

// maxAsks is the number of permits that a stream may need: to prefill and to decode.
const maxAsks = 2

// place decides which engines serve a stream. If the limits of other engines are what
// keeps it from being in time, it asks for permits and decides again.
func (s *stream) place(ctx context.Context) engines.Placement {
	placed := s.relay.Selector.Place(s.job.Service, s.placementRequest())
	for range maxAsks {
		if placed.PassedOver.Ask == "" || !s.relay.Limits.Acquire(ctx, placed.PassedOver.Ask) {
			break
		}
		placed = s.relay.Selector.Place(s.job.Service, s.placementRequest())
	}
	s.progress.PassedOver = placed.PassedOver
	return placed
}

// placeNext places the next attempt. If there is no endpoint but the one that said that no
// event is left, it is asked once more: otherwise a stream whose last event has come could
// never end.
func (s *stream) placeNext(ctx context.Context) engines.Placement {
	placed := s.place(ctx)
	alone := len(s.progress.excluded) == 1 && s.progress.excluded[s.saidNothingLeft] && placed.PassedOver.Count == 0
	if placed.Verdict != placement.NoEngine || !alone {
		return placed
	}
	delete(s.progress.excluded, s.saidNothingLeft)
	return s.place(ctx)
}

// permit is a request that the rate limit of an endpoint allows.
type permit struct {
	endpoint string // Its ID.
	giveBack func() // To be called if the request is not sent.
}

// reserveDecode takes the permit for the decode engine before a prefill elsewhere, so
// that no prefill is wasted on a stream that may not go on. It reports false if the
// engine's rate limit is used up.
func (s *stream) reserveDecode(id string) bool {
	if !s.relay.Selector.Limits.Limited(id) {
		return true
	}
	giveBack, ok := s.relay.Limits.Reserve(id)
	if !ok {
		return false
	}
	s.reserved = &permit{endpoint: id, giveBack: giveBack}
	return true
}

// takeReserved returns the permit for an endpoint if it was taken in advance, otherwise nil.
func (s *stream) takeReserved(id string) *permit {
	if s.reserved == nil || s.reserved.endpoint != id {
		return nil
	}
	taken := s.reserved
	s.reserved = nil
	return taken
}

// dropReserved gives the permit back that was taken in advance, if it was not used.
func (s *stream) dropReserved() {
	if s.reserved != nil {
		s.reserved.giveBack()
		s.reserved = nil
	}
}

// reasonUnplaced returns why no endpoint was selected.
func (p *progress) reasonUnplaced() Reason {
	switch {
	case p.PassedOver.Reason == availability.AskedToWait:
		return ReasonAskedToWait
	case p.PassedOver.Count > 0:
		return ReasonRateLimited
	case p.PassedOver.Unregistered > 0:
		return ReasonVersionUnregistered
	case p.sends > 0:
		return ReasonEndpointsFull
	default:
		return ReasonNoEndpoint
	}
}

// limitRetryAfter returns the time after which an endpoint that was passed over because
// of its rate limit may be sent a request again, and 0 if there was none.
func (r *Relay) limitRetryAfter(p *progress) time.Duration {
	if p.PassedOver.Any == "" {
		return 0
	}
	return r.Limits.RetryIn(p.PassedOver.Any)
}

// endUnplaced ends a stream that no engine can start or continue.
func (s *stream) endUnplaced(ctx context.Context, placed engines.Placement) Outcome {
	if placed.Verdict == placement.Refused {
		return s.giveUp(ctx, ReasonTooLate, placed.RetryAfter)
	}
	if s.version != "" && s.progress.sends == 0 && s.progress.PassedOver.Count == 0 {
		return s.endVersionGone(ctx, placed)
	}
	return s.giveUp(ctx, s.progress.reasonUnplaced(), max(placed.RetryAfter, s.relay.limitRetryAfter(s.progress)))
}
