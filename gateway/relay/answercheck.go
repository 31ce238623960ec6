package relay

import (
	"errors"
	"fmt"

	"flamingospar.org/gateway/transport"
)

// Errors of answers with status 200 to requests for streams.
var (
	// errNoStream means that an answer is none of the stream that was asked for.
	errNoStream = errors.New("the endpoint's answer is not the stream that was asked for; remedy: look at the endpoint")
	// errNothingLeft means that an answer says that there is no event after the last one.
	errNothingLeft = errors.New("the endpoint says that no event is left; remedy: none is needed if another says so too")
)

// checkHead returns an error if the header of a response with status 200 shows that it is
// not the stream asked for. What goes on after an event has to be a stream's answer beyond
// doubt: the caller gets it under the header, and the seal, of another answer.
func (c *streamCall) checkHead() error {
	meta := c.response.Meta
	switch {
	case meta.ContentType != "" && !meta.EventStream:
		return fmt.Errorf("%w: its content type is %.*q", errNoStream, maxQuotedBytes, meta.ContentType)
	case c.goesOn && !meta.EventStream:
		return fmt.Errorf("%w: it states no content type", errNoStream)
	case c.goesOn && !meta.Sealed:
		return fmt.Errorf("%w: it has no seal", errNoStream)
	default:
		return nil
	}
}

// checkEnd returns an error if a response that has ended after a number of events is not
// complete: it was broken off inside an event, or it has none. errNothingLeft says that it
// may be complete without any.
func (c *streamCall) checkEnd(counter *eventCounter, received int) error {
	switch {
	case counter.insideEvent():
		return fmt.Errorf("%w: the stream ended inside an event", transport.ErrIncomplete)
	case received > 0:
		return nil
	case !c.response.Framed:
		return fmt.Errorf("%w: the connection ended before the first event", transport.ErrIncomplete)
	case c.order.goesOn:
		return errNothingLeft
	default:
		return fmt.Errorf("%w: it has ended without an event", errNoStream)
	}
}
