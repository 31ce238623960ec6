package relay

import (
	"fmt"
	"strconv"
)

// eventOrder checks that the IDs of the events of one answer increase. In an answer that
// goes on after an event, they have to go on after the ID of that one.
type eventOrder struct {
	lastID      string // Of the event before; empty if none is known.
	goesOn      bool   // The answer goes on after lastID, and none of its events was seen.
	consecutive bool   // The IDs before have increased by one each time.
}

// add adds the next event, whose ID is empty if it has none.
func (o *eventOrder) add(id string) error {
	switch {
	case id == "" && o.goesOn:
		return fmt.Errorf("%w: an event without an ID came after event %q", errNoStream, o.lastID)
	case id == "":
		return nil
	case o.lastID != "" && !follows(o.lastID, id):
		return fmt.Errorf("%w: event %q came after event %q", errNoStream, id, o.lastID)
	case o.goesOn && o.consecutive && !followsAtOnce(o.lastID, id):
		return fmt.Errorf("%w: event %q came after event %q, others are missing", errNoStream, id, o.lastID)
	}
	o.lastID, o.goesOn = id, false
	return nil
}

// follows reports whether an ID may follow another. IDs that are no numbers have no order.
func follows(before, id string) bool {
	a, b, numbers := parseIDs(before, id)
	if !numbers {
		return before != id
	}
	return a < b
}

// followsAtOnce reports whether an ID is the number after another.
func followsAtOnce(before, id string) bool {
	a, b, numbers := parseIDs(before, id)
	return numbers && a < b && b-a == 1
}

func parseIDs(before, id string) (a, b uint64, numbers bool) {
	a, errA := strconv.ParseUint(before, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return a, b, errA == nil && errB == nil
}
