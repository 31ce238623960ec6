package relay

import (
	"context"
	"time"

	"flamingospar.org/base/clock"
)

// Times of a stream that has to go on while the list of endpoints is out of date.
const (
	// listWait bounds how long it waits for a newer list.
	listWait          = 300 * time.Millisecond
	listCheckInterval = 5 * time.Millisecond
	// oldListRetryAfter is the least Retry-After time of its caller if none has arrived.
	oldListRetryAfter = 700 * time.Millisecond
)

// listIsCurrent reports whether the list of endpoints is current, as far as the stream needs it:
// in an older one, an endpoint may have started again under its ID with other software.
func (s *stream) listIsCurrent() bool {
	return s.version == "" || s.relay.ListIsCurrent == nil || s.relay.ListIsCurrent()
}

// awaitCurrentList waits a moment until the list is current, and reports whether it is.
func (s *stream) awaitCurrentList(ctx context.Context) bool {
	current := s.listIsCurrent()
	for deadline := time.Now().Add(listWait); !current && time.Now().Before(deadline) && ctx.Err() == nil; {
		s.wait(func() { clock.Sleep(ctx, listCheckInterval) })
		current = s.listIsCurrent()
	}
	if !current {
		s.relay.Meter.Count("stream_versions", "old_list")
	}
	return current
}
