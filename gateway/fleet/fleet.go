// Package fleet holds the endpoints that this process knows of, as they
// described themselves in the store.
package fleet

import (
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/fleet")

// ReturnAllowance is how long after the store's return an endpoint whose row
// lapsed in the outage may take to be listed again.
const ReturnAllowance = 2 * time.Second

// Row is an endpoint's row as it was read, for other VMs.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// Listener hears of each change.
type Listener interface {
	// EndpointChanged is called for an endpoint that is new or changed.
	EndpointChanged(site.Endpoint)
	// EndpointGone is called for an endpoint that is no longer listed.
	EndpointGone(id string)
}

// Fleet is safe for concurrent use.
type Fleet struct {
	now func() time.Time

	mu        sync.Mutex
	listeners []Listener
	endpoints map[string]site.Endpoint
	rows      map[string]Row
	lapsed    map[string]bool // Rows that lapsed and may come back.
	holdUntil time.Time       // Rows that lapse before then are kept until then.
	version   int64           // Of the newest row or whole reading applied.
	// complete is the version after which every change is known here. A whole
	// reading does not tell which rows went before it.
	complete int64
	seen     time.Time // When the store last answered.
}

// New returns an empty fleet.
func New(now func() time.Time) *Fleet {
	return &Fleet{now: now, endpoints: make(map[string]site.Endpoint), rows: make(map[string]Row), lapsed: make(map[string]bool)}
}

// Listen adds a listener. It must be called before the first change.
func (f *Fleet) Listen(l Listener) { f.listeners = append(f.listeners, l) }

// Version returns the version of the store's newest row known here, 0 before the first.
func (f *Fleet) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// Age returns the time since the store last confirmed what is known, here or to
// the process that told it.
func (f *Fleet) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now().Sub(f.seen)
}

// Get returns an endpoint.
func (f *Fleet) Get(id string) (site.Endpoint, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint, ok := f.endpoints[id]
	return endpoint, ok
}

// HoldRemovals keeps endpoints whose rows lapse until t. It is called when the
// store is lost and again when it is back.
func (f *Fleet) HoldRemovals(until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.holdUntil = until
}

// Apply takes rows that changed, which the store confirmed age ago. whole says
// that rows are the whole table.
func (f *Fleet) Apply(rows []Row, version int64, whole bool, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if seen := f.now().Add(-age); seen.After(f.seen) {
		f.seen = seen
	}
	if whole {
		f.removeUnlisted(rows, version)
		f.complete = version
	}
	for _, row := range rows {
		if row.Version < f.rows[row.Key].Version {
			continue
		}
		f.rows[row.Key] = row
		if row.Removed {
			f.lapse(row.Key)
			continue
		}
		f.update(row)
	}
	f.version = max(f.version, version)
	f.settle()
}

func (f *Fleet) removeUnlisted(rows []Row, version int64) {
	listed := make(map[string]bool, len(rows))
	for _, row := range rows {
		listed[row.Key] = true
	}
	for id := range f.endpoints {
		if !listed[id] {
			f.rows[id] = Row{Key: id, Version: version, Removed: true}
			f.lapse(id)
		}
	}
}

func (f *Fleet) update(row Row) {
	endpoint, err := site.ParseEndpoint(row.Key, row.Value)
	if err != nil {
		log.Info("A row names no endpoint and is passed over.", "row", row.Key, "version", row.Version, "reason", err.Error())
		f.lapse(row.Key)
		return
	}
	known, ok := f.endpoints[row.Key]
	if ok && isOlder(endpoint, known) {
		log.Info("A row is older than what is known and is passed over.", "endpoint", row.Key, "started", endpoint.Started, "heartbeat", endpoint.Sequence)
		return
	}
	delete(f.lapsed, row.Key)
	f.endpoints[row.Key] = endpoint
	if !ok || endpoint.Draining != known.Draining || endpoint.Started != known.Started || endpoint.Stage != known.Stage || endpoint.Address != known.Address {
		log.Info("An endpoint is listed or has changed.", "endpoint", endpoint.ID, "service", endpoint.Service, "data_centre", endpoint.DataCentre, "draining", endpoint.Draining, "stage", endpoint.Stage, "version", row.Version)
	}
	for _, listener := range f.listeners {
		listener.EndpointChanged(endpoint)
	}
}

// isOlder reports whether a row was written before the one known. A restart
// begins the heartbeats anew.
func isOlder(row, known site.Endpoint) bool {
	if row.Started != known.Started {
		return row.Started < known.Started
	}
	return row.Sequence < known.Sequence
}

func (f *Fleet) lapse(id string) {
	if _, ok := f.endpoints[id]; !ok {
		return
	}
	if f.now().Before(f.holdUntil) {
		f.lapsed[id] = true
		return
	}
	f.remove(id)
}

// Settle removes the endpoints that lapsed in an outage and did not come back.
func (f *Fleet) Settle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
}

func (f *Fleet) settle() {
	if len(f.lapsed) == 0 || f.now().Before(f.holdUntil) {
		return
	}
	for id := range f.lapsed {
		f.remove(id)
	}
	clear(f.lapsed)
}

func (f *Fleet) remove(id string) {
	delete(f.endpoints, id)
	log.Info("An endpoint is no longer listed.", "endpoint", id, "version", f.rows[id].Version)
	for _, listener := range f.listeners {
		listener.EndpointGone(id)
	}
}

// News is what another process may not know yet.
type News struct {
	Rows    []Row
	Version int64         // Up to which Rows is complete.
	Whole   bool          // Rows are all that there are.
	Age     time.Duration // Since the store confirmed them.
}

// Since returns the rows newer than a version, as of one moment, or all rows for
// a process that knows none. There is no news, of version 0, for one that knows
// less than this one read whole.
func (f *Fleet) Since(after int64) News {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after > 0 && after < f.complete {
		return News{}
	}
	news := News{Version: f.version, Whole: after == 0, Age: f.now().Sub(f.seen)}
	for _, row := range f.rows {
		if row.Version > after && !(news.Whole && row.Removed) {
			news.Rows = append(news.Rows, row)
		}
	}
	return news
}
