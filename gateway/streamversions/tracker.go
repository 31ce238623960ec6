// Package streamversions keeps each stream at the software version of the engines that
// began it, over all entry processes and their restarts. core/streamversion decides.
//
// The store has a register of the versions of each service in use, written before the first
// stream begins at a version, so that any process can tell whether one version alone can
// have begun a stream. While there are several, processes write down which version began
// which stream. With one version in use nothing is written.
package streamversions

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/streamversion"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/streamversions")

// maxLinesPerSec bounds the lines about streams that are taken up.
const maxLinesPerSec = 30

// maxRegisterAge bounds how long before a version was listed the register was read that shows
// it as in use. In an older one its end may be missing.
const maxRegisterAge = 1 * time.Second

// maxServiceBytes bounds the name of a service, which is part of a key of the store. An entry
// with a longer one is that of another writer.
const maxServiceBytes = 190

// Fleet is what the tracker needs to know of the other processes.
type Fleet interface {
	// AmongFirst reports whether this process is among the first n that are alive.
	AmongFirst(n int) bool
	// Size returns the number of processes.
	Size() int
	// FindStream asks other processes for the version that began a stream.
	FindStream(ctx context.Context, id uint64) (string, bool)
}

// Tracker knows the versions in use and the streams begun. It is safe for concurrent use.
type Tracker struct {
	// StoreLost reports whether the store does not answer this process.
	StoreLost func() bool
	// Sharing returns the services that share a route with a service.
	Sharing func(service string) []string
	// ListIsRecent reports whether the store has confirmed the list of endpoints lately.
	ListIsRecent func() bool
	// ConfigurationIsCurrent reports whether the store has no newer configuration than one with
	// a version. It is asked where streams of another service may have begun at another version.
	ConfigurationIsCurrent func(ctx context.Context, version int64) bool

	store    Store
	fleet    Fleet
	instance string
	meter    *meter.Registry
	// startedAt is when this process began to follow the versions.
	startedAt time.Time
	lines     logging.LineBudget
	wake      chan struct{} // Receives a value when a write may be due.

	mu         sync.Mutex
	table      tableCopy
	nextFlight *flight
	flying     bool
	endpoints  map[string]listedEngine // By ID.
	services   map[string]*service
	ready      bool      // Ready has been true.
	eraSince   time.Time // When the store was last known to have come back from an older copy.

	writer writer // Used by Run alone.
}

type listedEngine struct {
	service string
	version string
}

// service is what this process knows of one service.
type service struct {
	versions   map[string]*version // That are listed, or were within Retention.
	remembered *streamversion.Register
	memory     *streamversion.Memory
	recording  bool // Its streams are written to the store.
}

// version is a version of a service as this process sees it.
type version struct {
	engines int       // Number of listed engines.
	since   time.Time // When it was listed.
	ended   time.Time // When it was found to be listed no more.
	// inUse is set once the version is known to be registered as in use. Streams begin at
	// no other version.
	inUse bool
	// missing is set if the register was read and lacks the version.
	missing bool
}

// New returns the tracker of the process named instance.
func New(store Store, fleet Fleet, instance string, metrics *meter.Registry) *Tracker {
	return &Tracker{
		StoreLost: func() bool { return false }, Sharing: func(string) []string { return nil }, ListIsRecent: func() bool { return true }, ConfigurationIsCurrent: func(context.Context, int64) bool { return true }, store: store, fleet: fleet, instance: instance, meter: metrics, startedAt: clock.Now(), wake: make(chan struct{}, 1),
		table: newTableCopy(), endpoints: make(map[string]listedEngine), services: make(map[string]*service),
	}
}

func (t *Tracker) service(name string) *service {
	s, ok := t.services[name]
	if !ok {
		s = &service{versions: make(map[string]*version), memory: streamversion.NewMemory()}
		t.services[name] = s
	}
	return s
}

// EndpointChanged implements fleet.Listener.
func (t *Tracker) EndpointChanged(endpoint site.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := listedEngine{service: endpoint.Service, version: endpoint.SoftwareVersion}
	known, ok := t.endpoints[endpoint.ID]
	if ok && known == engine && endpoint.Stage != "" {
		return
	}
	if ok && known.service == endpoint.Service && known.version != endpoint.SoftwareVersion {
		t.services[known.service].memory.Doubt(endpoint.ID, clock.Now())
	}
	if s, known := t.services[endpoint.Service]; known && !ok {
		s.memory.DoubtOldList(endpoint.ID, endpoint.SoftwareVersion, clock.Now())
	}
	t.unlist(endpoint.ID)
	if endpoint.Stage != "" && len(endpoint.Service) <= maxServiceBytes { // Plain services have no streams to go on with.
		t.endpoints[endpoint.ID] = engine
		t.list(engine)
	}
}

// EndpointGone implements fleet.Listener.
func (t *Tracker) EndpointGone(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unlist(id)
}

// list records an engine that is listed. t.mu must be held.
func (t *Tracker) list(engine listedEngine) {
	s := t.service(engine.service)
	v, ok := s.versions[engine.version]
	if !ok {
		v = &version{}
		s.versions[engine.version] = v
	}
	v.engines++
	if v.engines > 1 {
		return
	}
	v.since = clock.Now()
	v.missing = false
	t.reconcileVersion(engine.service, engine.version, v)
	t.signal()
}

// unlist records that an endpoint is no longer listed. t.mu must be held.
func (t *Tracker) unlist(id string) {
	engine, ok := t.endpoints[id]
	if !ok {
		return
	}
	delete(t.endpoints, id)
	s := t.services[engine.service]
	v := s.versions[engine.version]
	v.engines--
	if v.engines > 0 {
		return
	}
	v.ended = clock.Now()
	v.inUse = false
	maps.DeleteFunc(s.versions, func(_ string, v *version) bool {
		return v.engines == 0 && clock.Now().Sub(v.ended) > streamversion.Retention
	})
}

// signal wakes the writer.
func (t *Tracker) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// reconcile updates what is known to be in use after a read or a write. t.mu must be held.
func (t *Tracker) reconcile() {
	for name, s := range t.services {
		for versionName, v := range s.versions {
			t.reconcileVersion(name, versionName, v)
		}
	}
}

func (t *Tracker) reconcileVersion(serviceName, versionName string, v *version) {
	if v.engines == 0 || !t.table.loaded {
		return
	}
	row := t.table.register(serviceName)
	if row.InUse(versionName) && row.askedAt.After(v.since.Add(-maxRegisterAge)) {
		t.setInUse(serviceName, versionName, v, "the store")
		v.missing = false
		return
	}
	if !row.InUse(versionName) && row.Era == t.store.Era() && row.askedAt.After(v.since) {
		v.missing, v.inUse = true, false
		t.signal()
	}
}

func (t *Tracker) setInUse(serviceName, versionName string, v *version, source string) {
	if v.inUse {
		return
	}
	v.inUse = true
	t.meter.Count("stream_versions", "in_use")
	log.Info("A software version of a service is in use: streams may begin at it.",
		"service", serviceName, "software", versionName, "source", source, "listed_ms", clock.Now().Sub(v.since).Milliseconds(), "era", t.table.era, "version", t.table.version)
}

// StoreRestored remembers what is known, since the store came back from an older copy.
func (t *Tracker) StoreRestored() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.eraSince = clock.Now()
	for name, s := range t.services {
		s.remember(t.table.registers[name].Register, &t.table)
		s.recording = false // What was written may be gone.
	}
	t.signal()
}

// remember keeps what is known of the versions in use, if they were known in the era that
// has ended.
func (s *service) remember(known streamversion.Register, table *tableCopy) {
	if !table.loaded || known.Era != table.era || len(known.Uses) == 0 {
		return // An earlier memory, if there is one, is still to be written.
	}
	known.Uses = streamversion.Merge(known.Uses, s.seen(table.moment().NowMS))
	if s.remembered != nil {
		known.Uses = streamversion.Merge(known.Uses, s.remembered.Uses)
	}
	s.remembered = &known
}

// seen returns the versions that this process has seen in use, by the store's clock.
func (s *service) seen(nowMS int64) []streamversion.Use {
	var uses []streamversion.Use
	for _, name := range slices.Sorted(maps.Keys(s.versions)) {
		v := s.versions[name]
		use := streamversion.Use{Version: name}
		if v.engines == 0 {
			use.EndedMS = max(nowMS-clock.Now().Sub(v.ended).Milliseconds(), 1)
		}
		uses = append(uses, use)
	}
	return uses
}

// listed returns the versions of listed engines, in order.
func (s *service) listed() []string {
	var listed []string
	for name, v := range s.versions {
		if v.engines > 0 {
			listed = append(listed, name)
		}
	}
	slices.Sort(listed)
	return listed
}
