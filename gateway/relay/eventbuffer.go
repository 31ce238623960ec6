package relay

import "bytes"

// maxEventBytes is the largest size of one event. An endpoint that sends a larger one
// is assumed to send an event without end.
const maxEventBytes = 256 << 10

// eventBuffer splits a stream of server-sent events into whole events, so that a stream
// that continues on another endpoint does so after a whole event.
type eventBuffer struct {
	partial []byte // Of an event that has not ended.
	lastID  string // ID of the last whole event that has one.
	count   int    // Number of whole events.
}

var eventSeparator = []byte("\n\n")

// add appends data and returns the whole events in the buffer, which are removed from
// it. The result is valid until the next call.
func (b *eventBuffer) add(data []byte) []byte {
	b.partial = append(b.partial, data...)
	end := bytes.LastIndex(b.partial, eventSeparator)
	if end < 0 {
		return nil
	}
	complete := b.partial[:end+len(eventSeparator)]
	b.scan(complete)
	rest := b.partial[end+len(eventSeparator):]
	b.partial = append([]byte(nil), rest...)
	return complete
}

// scan counts whole events and records the ID of the last one that has one.
func (b *eventBuffer) scan(complete []byte) {
	b.count += bytes.Count(complete, eventSeparator)
	for line := range bytes.SplitSeq(complete, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			b.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// remainder returns the data after the last whole event.
func (b *eventBuffer) remainder() []byte { return b.partial }

// discardPartial drops the data after the last whole event.
func (b *eventBuffer) discardPartial() { b.partial = nil }
