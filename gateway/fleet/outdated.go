package fleet

import (
	"time"

	"flamingospar.org/platform/site"
)

// An endpoint whose heartbeats go on, though they look older than what is known of it, is
// believed after so many of them and so long a time: another writer left what is known
// under its ID. Heartbeats that the store carried out late are few, and those of the same
// endpoint that are not late come between them.
const (
	minOutdatedHeartbeats = 5
	minOutdatedTime       = 4 * time.Second
)

// outdatedRun is a row of heartbeats, each later than the one before, that all look older
// than what is known.
type outdatedRun struct {
	last  site.Endpoint
	count int
	since time.Time
}

// mayBelieve records a heartbeat that looks older than what is known, and reports whether
// it is believed nonetheless.
func (f *Fleet) mayBelieve(endpoint, current site.Endpoint) bool {
	run, ok := f.outdated[endpoint.ID]
	switch {
	case ok && endpoint.StartedMS == run.last.StartedMS && endpoint.HeartbeatSeq == run.last.HeartbeatSeq:
		return false // The same one again.
	case ok && endpoint.StartedMS == run.last.StartedMS && endpoint.HeartbeatSeq > run.last.HeartbeatSeq:
		run.count++
	default:
		run = outdatedRun{count: 1, since: f.now()}
		log.Info("An outdated endpoint row was ignored.", "endpoint", endpoint.ID, "started", endpoint.StartedMS, "heartbeat", endpoint.HeartbeatSeq)
	}
	run.last = endpoint
	f.outdated[endpoint.ID] = run
	if run.count < minOutdatedHeartbeats || f.now().Sub(run.since) < minOutdatedTime {
		return false
	}
	log.Info("An endpoint goes on with heartbeats that look older than what was known, which is given up.", "endpoint", endpoint.ID,
		"started", endpoint.StartedMS, "heartbeat", endpoint.HeartbeatSeq, "known_started", current.StartedMS, "known_heartbeat", current.HeartbeatSeq)
	return true
}
