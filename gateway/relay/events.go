package relay

import "bytes"

// maxEvent bounds one event of a stream, in bytes. An endpoint that sends more
// is taken to send without end.
const maxEvent = 256 << 10

// events cuts a stream of server-sent events at the ends of its events, so that
// a stream which goes on at another endpoint does so after a whole event.
type events struct {
	partial []byte
	lastID  string // Of the last whole event that had one.
	count   int    // Whole events.
}

var eventEnd = []byte("\n\n")

// add takes bytes of the stream and returns those that end whole events. The
// result is valid until the next call.
func (e *events) add(data []byte) []byte {
	e.partial = append(e.partial, data...)
	end := bytes.LastIndex(e.partial, eventEnd)
	if end < 0 {
		return nil
	}
	whole := e.partial[:end+len(eventEnd)]
	e.note(whole)
	rest := e.partial[end+len(eventEnd):]
	e.partial = append([]byte(nil), rest...)
	return whole
}

// note remembers the last id among whole events.
func (e *events) note(whole []byte) {
	e.count += bytes.Count(whole, eventEnd)
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			e.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// rest returns the bytes after the last whole event.
func (e *events) rest() []byte { return e.partial }

// restart drops what an endpoint left of an event.
func (e *events) restart() { e.partial = nil }
