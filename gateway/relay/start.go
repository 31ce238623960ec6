package relay

import (
	"errors"
	"fmt"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// errOtherStart means that a connection leads to another start of an endpoint than the one that is
// listed, which may run other software.
var errOtherStart = fmt.Errorf("%w: the endpoint has started again since its entry was read", transport.ErrNotSent)

// errStartNotSaid means that a stream can't go on at an endpoint which does not say when it started.
var errStartNotSaid = fmt.Errorf("%w: the endpoint does not say when it started, so the stream can't go on there", transport.ErrNotSent)

// errStartNotProven means the same for an endpoint that has begun to answer.
var errStartNotProven = errors.New("the endpoint that answers may have started again with other software; remedy: look at its report")

// startQuestion returns the question which start of an endpoint a connection leads to: its entry
// tells the software of one start. A stream that others began goes on only if it is certain.
func (s *stream) startQuestion(endpoint site.Endpoint) *transport.StartQuestion {
	goesOn, relay := s.version != "", s.relay
	mayAsk := func() bool { return relay.Limits.Take(endpoint.ID) } // A question counts as a request.
	return &transport.StartQuestion{Endpoint: endpoint.ID, MayAsk: mayAsk, Check: func(startedMS int64) error {
		switch {
		case startedMS == 0 && goesOn:
			relay.Meter.Count("stream_versions", "start_unknown")
			return errStartNotSaid
		case startedMS != 0 && startedMS != endpoint.StartedMS:
			relay.Meter.Count("stream_versions", "other_start")
			relay.Selector.RecordResult(endpoint.ID, engines.Busy)
			return errOtherStart
		default:
			return nil
		}
	}}
}

// proven reports whether the answer comes from the start of its endpoint that is listed.
func (c *streamCall) proven() bool { return c.response != nil && c.response.StartedMS != 0 }
