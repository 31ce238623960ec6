package relay

import "bytes"

// maxEventBytes is the largest size of one event. An endpoint that sends a larger one
// is assumed to send an event without end.
const maxEventBytes = 256 << 10

// eventBuffer splits a stream of server-sent events into whole events, so that a stream
// that continues on another endpoint does so after a whole event.
type eventBuffer struct {
	partial []byte // What has arrived of an event that has not ended.
	scanned int    // Length of the whole lines in partial.
	inEvent bool   // The whole lines in partial have one that is not a comment.
	isEvent bool   // The whole lines in partial have data or an ID.
	id      string // The last ID in the whole lines in partial.
	lastID  string // ID of the last whole event that has one.
	count   int    // Number of whole events.
	steps   int    // Number of IDs that were the number after the one before.
	gaps    int    // Number of other IDs but the first.
}

// add appends data and returns the whole events and comments in the buffer, which are
// removed from it. The result is valid until the next call.
func (b *eventBuffer) add(data []byte) []byte {
	b.partial = append(b.partial, data...)
	whole := 0
	for {
		length := bytes.IndexByte(b.partial[b.scanned:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimSuffix(b.partial[b.scanned:b.scanned+length], []byte("\r"))
		b.scanned += length + 1
		b.endLine(line)
		if !b.inEvent {
			whole = b.scanned
		}
	}
	if whole == 0 {
		return nil
	}
	complete := b.partial[:whole]
	b.partial = append([]byte(nil), b.partial[whole:]...)
	b.scanned -= whole
	return complete
}

// endLine processes a whole line.
func (b *eventBuffer) endLine(line []byte) {
	switch {
	case len(line) == 0 && b.inEvent:
		b.endEvent()
	case len(line) == 0 || line[0] == ':':
	default:
		b.inEvent = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			b.isEvent, b.id = true, string(bytes.TrimSpace(value))
		case "data":
			b.isEvent = true
		}
	}
}

// endEvent counts an event and records its ID if it has one.
func (b *eventBuffer) endEvent() {
	if b.isEvent {
		b.count++
	}
	b.inEvent, b.isEvent = false, false
	if b.id == "" {
		return
	}
	if followsAtOnce(b.lastID, b.id) {
		b.steps++
	} else if b.lastID != "" {
		b.gaps++
	}
	b.lastID, b.id = b.id, ""
}

// consecutive reports whether the IDs have increased by one each time.
func (b *eventBuffer) consecutive() bool { return b.steps > 0 && b.gaps == 0 }

// discardPartial drops the data after the last whole event.
func (b *eventBuffer) discardPartial() {
	b.partial, b.scanned, b.inEvent, b.isEvent, b.id = nil, 0, false, false, ""
}
