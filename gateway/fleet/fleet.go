// Package fleet keeps the endpoints that this process knows from their rows in
// the store.
package fleet

import (
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/fleet")

// ReregistrationTimeout is how long after the store recovers an endpoint whose
// row expired during the outage may take to register again.
const ReregistrationTimeout = 2 * time.Second

// Row is an endpoint's row as read from the store, in the form in which it is
// passed to other VMs.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	Deleted bool   `json:"removed,omitempty"`
}

// Listener is notified of each change.
type Listener interface {
	// EndpointChanged is called for an endpoint that is new or changed.
	EndpointChanged(site.Endpoint)
	// EndpointGone is called for an endpoint that is no longer listed.
	EndpointGone(id string)
}

// Fleet is the set of known endpoints. It is safe for concurrent use.
type Fleet struct {
	now func() time.Time

	mu              sync.Mutex
	listeners       []Listener
	endpoints       map[string]site.Endpoint
	rows            map[string]Row
	pendingRemovals map[string]bool // Endpoints whose rows were removed during an outage.
	deferUntil      time.Time       // Until then, removals are deferred.
	removed         map[string]removal
	pendingReturns  map[string]pendingReturn
	era             int64     // Of the store that gave out the versions.
	eraBegan        time.Time // When this process learned of it; zero for the first.
	version         int64     // Highest version of a row or snapshot applied.
	// completeSince is the version after which every change is known here. A
	// snapshot doesn't contain the rows that were removed before it.
	completeSince int64
	confirmedAt   time.Time              // When the store last confirmed the rows.
	outdated      map[string]outdatedRun // By endpoint.
	invalid       logging.Reasons        // Why rows name no endpoint, by key.
}

// New returns an empty fleet.
func New(now func() time.Time) *Fleet {
	return &Fleet{
		now: now, endpoints: make(map[string]site.Endpoint), rows: make(map[string]Row), pendingRemovals: make(map[string]bool),
		removed: make(map[string]removal), pendingReturns: make(map[string]pendingReturn), outdated: make(map[string]outdatedRun),
	}
}

// AddListener adds a listener. It must be called before the first change.
func (f *Fleet) AddListener(l Listener) { f.listeners = append(f.listeners, l) }

// Version returns the highest row version known here, 0 before the first.
func (f *Fleet) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Position is a point in the history of the rows. Versions of different eras can't be
// compared.
type Position struct {
	Era     int64
	Version int64
}

// Position returns the era of the store and the highest row version known here.
func (f *Fleet) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Position{Era: f.era, Version: f.version}
}

// Age returns the time since the store last confirmed the rows to this process
// or to the process that sent them.
func (f *Fleet) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.confirmedAt)
}

// Get returns the endpoint with the given ID.
func (f *Fleet) Get(id string) (site.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint, ok := f.endpoints[id]
	return endpoint, ok
}

// DeferRemovals keeps endpoints whose rows are removed until the given time. It
// is called when the store is lost and when it recovers.
func (f *Fleet) DeferRemovals(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deferUntil = until
}

// Apply applies changes that the store confirmed the given age ago. A snapshot is the
// whole table: endpoints that it doesn't contain are removed. Changes of an earlier era
// are ignored, and those of a later era as well unless they are a snapshot.
func (f *Fleet) Apply(changes Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes.Era < f.era || changes.Era > f.era && !changes.Snapshot {
		return
	}
	if changes.Era > f.era {
		f.beginEra(changes.Era)
	}
	if confirmedAt := f.now().Add(-changes.Age); confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
	if changes.Snapshot {
		f.removeUnlisted(changes.Rows, changes.Version)
		f.completeSince = changes.Version
	}
	for _, row := range changes.Rows {
		if row.Version < f.rows[row.Key].Version {
			continue
		}
		f.rows[row.Key] = row.compact()
		if row.Deleted {
			f.invalid.Forget(row.Key)
			delete(f.pendingReturns, row.Key)
			f.removeOrDefer(row.Key)
			continue
		}
		f.update(row)
	}
	f.version = max(f.version, changes.Version)
	f.flush()
}

func (f *Fleet) removeUnlisted(rows []Row, version int64) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	f.invalid.Keep(func(key string) bool { return listed[key] })
	for id := range f.endpoints {
		if !listed[id] {
			f.rows[id] = Row{Key: id, Version: version, Deleted: true}
			f.removeOrDefer(id)
		}
	}
}

func (f *Fleet) update(row Row) {
	endpoint, err := site.ParseEndpoint(row.Key, row.Value)
	if err != nil {
		f.logInvalid(row, err)
		f.removeOrDefer(row.Key)
		return
	}
	f.invalid.Forget(row.Key)
	if f.deferReturn(endpoint, row) {
		return
	}
	current, ok := f.endpoints[row.Key]
	if ok && isOlder(endpoint, current) && !f.mayBelieve(endpoint, current) {
		return
	}
	f.set(endpoint, row, current, ok)
}

// set makes an endpoint known that was known as current, if ok is set.
func (f *Fleet) set(endpoint site.Endpoint, row Row, current site.Endpoint, ok bool) {
	delete(f.pendingRemovals, row.Key)
	delete(f.removed, row.Key)
	delete(f.outdated, row.Key)
	f.endpoints[row.Key] = endpoint
	if !ok || endpoint.Draining != current.Draining || endpoint.StartedMS != current.StartedMS || endpoint.Stage != current.Stage || endpoint.Address != current.Address || endpoint.SoftwareVersion != current.SoftwareVersion {
		log.Info("An endpoint was added or changed.", "endpoint", endpoint.ID, "service", endpoint.Service, "data_centre", endpoint.DataCentre, "draining", endpoint.Draining, "stage", endpoint.Stage, "software", endpoint.SoftwareVersion, "version", row.Version)
	}
	for _, listener := range f.listeners {
		listener.EndpointChanged(endpoint)
	}
}

// isOlder reports whether a row was written before the current one. Heartbeat
// numbers start again when the endpoint restarts.
func isOlder(row, current site.Endpoint) bool {
	if row.StartedMS != current.StartedMS {
		return row.StartedMS < current.StartedMS
	}
	return row.HeartbeatSeq < current.HeartbeatSeq
}

func (f *Fleet) removeOrDefer(id string) {
	if _, ok := f.endpoints[id]; !ok {
		return
	}
	if f.deferring() {
		f.pendingRemovals[id] = true
		return
	}
	f.remove(id)
}

// Flush removes the endpoints whose removal was deferred and that have not registered
// again, once the deferral has ended, and adds those whose return was deferred.
func (f *Fleet) Flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flush()
}

func (f *Fleet) flush() {
	f.flushRemovals()
	f.flushReturns()
}

func (f *Fleet) flushRemovals() {
	if len(f.pendingRemovals) == 0 || f.deferring() {
		return
	}
	for id := range f.pendingRemovals {
		f.remove(id)
	}
	clear(f.pendingRemovals)
}

func (f *Fleet) remove(id string) {
	f.recordRemoval(id)
	delete(f.endpoints, id)
	delete(f.outdated, id)
	log.Info("An endpoint was removed.", "endpoint", id, "version", f.rows[id].Version)
	for _, listener := range f.listeners {
		listener.EndpointGone(id)
	}
}

// Changes are rows that a process may lack.
type Changes struct {
	Rows     []Row
	Era      int64         // Of the store that gave out the versions.
	Version  int64         // Version up to which Rows is complete.
	Snapshot bool          // Rows is the whole table.
	Age      time.Duration // Time since the store confirmed the rows.
}

// ChangesSince returns the rows newer than a position, or all rows for version 0 or an
// earlier era. It returns no rows and version 0 if the position is of a later era, or
// older than this process's latest snapshot: rows removed in between are unknown here.
func (f *Fleet) ChangesSince(position Position) Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := position.Version
	if position.Era < f.era {
		after = 0
	}
	if position.Era > f.era || after > 0 && after < f.completeSince {
		return Changes{}
	}
	changes := Changes{Era: f.era, Version: f.version, Snapshot: after == 0, Age: f.now().Sub(f.confirmedAt)}
	for _, row := range f.rows {
		if row.Version > after && !(changes.Snapshot && row.Deleted) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}
