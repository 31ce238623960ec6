package relay

import (
	"bytes"
	"fmt"

	"flamingospar.org/gateway/link"
)

// eventMeter follows a stream of server-sent events as its bytes come. Bytes
// alone are no progress: a stalled endpoint may go on with comments or with an
// event that never ends.
type eventMeter struct {
	size    int  // Bytes of the event that has not ended.
	field   bool // It has a line that is no comment.
	midLine bool
}

// add takes bytes and returns how many events ended in them that hold a field.
// The error wraps link.ErrOverlong when an event has no end.
func (m *eventMeter) add(data []byte) (ended int, err error) {
	for len(data) > 0 {
		line, rest, whole := bytes.Cut(data, []byte("\n"))
		m.size += len(data) - len(rest)
		if m.line(line, whole) {
			ended++
		}
		data = rest
	}
	if m.size > maxEvent {
		return ended, fmt.Errorf("%w: an event of more than %d bytes", link.ErrOverlong, maxEvent)
	}
	return ended, nil
}

// line takes a line or a part of one, and reports whether an event that holds a
// field ended with it.
func (m *eventMeter) line(line []byte, whole bool) bool {
	line = bytes.TrimSuffix(line, []byte("\r"))
	if !m.midLine && len(line) > 0 && line[0] != ':' {
		m.field = true
	}
	empty := !m.midLine && len(line) == 0
	m.midLine = !whole && (m.midLine || len(line) > 0) // A carriage return alone may begin an empty line.
	if !whole || !empty {
		return false
	}
	held := m.field
	m.size, m.field = 0, false
	return held
}
