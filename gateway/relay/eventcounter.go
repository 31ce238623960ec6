package relay

import (
	"bytes"
	"fmt"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// maxQuotedBytes is the length up to which errors quote what an endpoint has sent.
const maxQuotedBytes = 40

// eventCounter counts the events in a stream of server-sent events and finds what is no
// part of one. Received bytes alone are no progress: a stalled endpoint may still send
// comments or an event that never ends.
type eventCounter struct {
	order      eventOrder
	eventBytes int    // Size of the unfinished event.
	hasField   bool   // The unfinished event has a line that is not a comment.
	isEvent    bool   // The unfinished event has data or an ID.
	id         string // Of the unfinished event.
	line       []byte // The unfinished line.
	whole      int    // Length of the part of the last data up to the end of its last whole event or comment.
}

// add returns the number of events that end in data. The error wraps
// transport.ErrResponseTooLarge if an event exceeds maxEventBytes, and errNoStream if a
// line is no part of a stream of events or the order of events is wrong.
func (c *eventCounter) add(data []byte) (ended int, err error) {
	c.whole = 0
	size := len(data)
	for len(data) > 0 {
		line, rest, complete := bytes.Cut(data, []byte("\n"))
		c.eventBytes += len(data) - len(rest)
		c.line = append(c.line, line...)
		data = rest
		if !complete {
			break
		}
		event, err := c.endLine()
		if err != nil {
			return ended, err
		}
		if event {
			ended++
		}
		if !c.hasField {
			c.whole = size - len(data)
		}
	}
	if c.eventBytes > maxEventBytes {
		return ended, fmt.Errorf("%w: an event of more than %d bytes", transport.ErrResponseTooLarge, maxEventBytes)
	}
	return ended, nil
}

// insideEvent reports whether an event has begun and not ended. A carriage return alone
// may be the start of an empty line.
func (c *eventCounter) insideEvent() bool {
	return c.hasField || len(bytes.TrimSuffix(c.line, []byte("\r"))) > 0
}

// endLine processes the line that has ended, and reports whether it ends an event.
func (c *eventCounter) endLine() (event bool, err error) {
	line := bytes.TrimSuffix(c.line, []byte("\r"))
	c.line = c.line[:0]
	if len(line) == 0 {
		return c.endEvent()
	}
	if line[0] == ':' { // A comment.
		return false, nil
	}
	c.hasField = true
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		c.isEvent = true
	case "id":
		c.isEvent = true
		c.id = string(bytes.TrimSpace(value))
	case "event", "retry", site.EventFieldWeightVersion:
	default:
		return false, fmt.Errorf("%w: a line %q", errNoStream, line[:min(len(line), maxQuotedBytes)])
	}
	return false, nil
}

func (c *eventCounter) endEvent() (event bool, err error) {
	event, id := c.isEvent, c.id
	c.eventBytes, c.hasField, c.isEvent, c.id = 0, false, false, ""
	if event {
		err = c.order.add(id)
	}
	return event, err
}
