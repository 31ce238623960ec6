package relay

import (
	"bytes"
	"fmt"

	"flamingospar.org/gateway/transport"
)

// eventCounter counts the events in a stream of server-sent events. Received bytes
// alone are no progress: a stalled endpoint may still send comments or an event that
// never ends.
type eventCounter struct {
	eventBytes int  // Size of the unfinished event.
	hasField   bool // The unfinished event has a line that is not a comment.
	midLine    bool // The last line is unfinished.
}

// add returns the number of events with at least one field that end in data. The
// error wraps transport.ErrResponseTooLarge if an event exceeds maxEventBytes.
func (c *eventCounter) add(data []byte) (ended int, err error) {
	for len(data) > 0 {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		c.eventBytes += len(data) - len(rest)
		if c.addLine(line, complete) {
			ended++
		}
		data = rest
	}
	if c.eventBytes > maxEventBytes {
		return ended, fmt.Errorf("%w: an event of more than %d bytes", transport.ErrResponseTooLarge, maxEventBytes)
	}
	return ended, nil
}

// insideEvent reports whether an event has begun and not ended.
func (c *eventCounter) insideEvent() bool { return c.hasField || c.midLine }

// addLine processes a line, or part of one if complete is false, and reports whether it
// ends an event with at least one field.
func (c *eventCounter) addLine(line []byte, complete bool) bool {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !c.midLine && len(line) > 0 && line[0] != ':' {
		c.hasField = true
	}
	empty := !c.midLine && len(line) == 0
	c.midLine = !complete && (c.midLine || len(line) > 0) // A carriage return alone may be the start of an empty line.
	if !complete || !empty {
		return false
	}
	hadField := c.hasField
	c.eventBytes, c.hasField = 0, false
	return hadField
}
