package fleet

import (
	"maps"
	"time"

	"flamingospar.org/platform/site"
)

// Times around an era: a store that came back from an older copy lacks endpoints that
// have registered since, and lists some that have left since.
const (
	// returnDelay is how long the row of an endpoint that was removed in an earlier era
	// must stay listed unchanged until the endpoint is used again. The store removes the
	// row of an endpoint that is gone within that time.
	returnDelay = 6 * time.Second
	// removalRetention is how long a removed endpoint is remembered. Copies are younger.
	removalRetention = 5 * time.Minute
)

// removal is an endpoint that was removed.
type removal struct {
	endpoint site.Endpoint // As it was last known.
	era      int64
	at       time.Time
}

// pendingReturn is a row that may be older than the removal of its endpoint.
type pendingReturn struct {
	endpoint site.Endpoint
	row      Row
	since    time.Time
}

// beginEra forgets all versions. The endpoints stay known until the rows of the new era
// say otherwise.
func (f *Fleet) beginEra(era int64) {
	if f.version > 0 {
		f.eraBegan = f.now()
		log.Info("Endpoints are taken from a store that came back from an older copy.", "era", era, "era_before", f.era, "version_before", f.version, "endpoints", len(f.endpoints))
	}
	f.era = era
	f.version, f.completeSince = 0, 0
	clear(f.rows)
	clear(f.pendingReturns)
}

// deferring reports whether endpoints whose rows are missing are kept for now.
func (f *Fleet) deferring() bool {
	now := f.now()
	return now.Before(f.deferUntil) || !f.eraBegan.IsZero() && now.Before(f.eraBegan.Add(ReregistrationTimeout))
}

// recordRemoval remembers an endpoint that is about to be removed.
func (f *Fleet) recordRemoval(id string) {
	now := f.now()
	maps.DeleteFunc(f.removed, func(_ string, r removal) bool { return now.Sub(r.at) > removalRetention })
	f.removed[id] = removal{endpoint: f.endpoints[id], era: f.era, at: now}
}

// deferReturn reports whether a row may come from a copy that is older than the removal
// of its endpoint. It is then kept until returnDelay has passed.
func (f *Fleet) deferReturn(endpoint site.Endpoint, row Row) bool {
	removed, ok := f.removed[row.Key]
	if !ok || removed.era == f.era || isOlder(removed.endpoint, endpoint) {
		delete(f.pendingReturns, row.Key)
		return false
	}
	since := f.now()
	if pending, ok := f.pendingReturns[row.Key]; ok {
		since = pending.since
	}
	f.pendingReturns[row.Key] = pendingReturn{endpoint: endpoint, row: row, since: since}
	log.Info("An endpoint that was removed is listed by an older copy; it is used again only if it stays listed.", "endpoint", row.Key, "version", row.Version, "era", f.era)
	return true
}

// flushReturns adds the endpoints that have stayed listed for returnDelay.
func (f *Fleet) flushReturns() {
	for id, pending := range f.pendingReturns {
		if f.now().Sub(pending.since) < returnDelay {
			continue
		}
		delete(f.pendingReturns, id)
		current, ok := f.endpoints[id]
		f.set(pending.endpoint, pending.row, current, ok)
	}
}
