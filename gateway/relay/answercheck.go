package relay

import (
	"errors"
	"fmt"

	"flamingospar.org/gateway/transport"
)

// errNoStream means that an answer with status 200 is none of the stream that was asked for.
var errNoStream = errors.New("the endpoint's answer is not the stream that was asked for; remedy: look at the endpoint")

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
// complete: it was broken off inside an event, or before the first one if nothing but the
// end of its connection says that it is complete.
func (c *streamCall) checkEnd(counter *eventCounter, received int) error {
	switch {
	case counter.insideEvent():
		return fmt.Errorf("%w: the stream ended inside an event", transport.ErrIncomplete)
	case received == 0 && !c.response.Framed:
		return fmt.Errorf("%w: the connection ended before the first event", transport.ErrIncomplete)
	default:
		return nil
	}
}
