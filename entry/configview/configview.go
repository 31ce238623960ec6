// Package configview holds this entry's view of the configuration. It reads the
// change log in the table service, exchanges missing changes with other entries,
// and writes operators' changes to the log. It returns the configuration only
// while it has recent evidence that its revision is current.
package configview

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/invariant"
	"flamingospar.org/base/logging"
	"flamingospar.org/core/config"
	"flamingospar.org/platform/objects"
	"flamingospar.org/platform/tables"
)

const (
	pollInterval = 2 * time.Second
	readTimeout  = 1500 * time.Millisecond
	// defaultRecent is the number of changes kept in memory for peers that lack
	// them.
	defaultRecent = 1024
)

var log = logging.For("entry/config")

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Options configure a View. All fields may be zero.
type Options struct {
	Instance string
	Peers    Peers
	Objects  objects.Store // Stores snapshots; nil disables them.
	Clock    clock.Clock
	Counter  Counter
	// Parallel limits concurrent calls to other entries.
	Parallel int
	// Recent is the number of changes kept in memory for other entries.
	Recent int
	// SnapshotEvery is the number of changes between snapshots.
	SnapshotEvery config.Revision
}

// View tracks the current configuration. It is safe for concurrent use.
type View struct {
	tables  tables.Service
	options Options

	storeMu sync.Mutex // Serialises reads and writes of the table service.
	fanout  int        // Number of peers to query in the next round.
	// storeFailing is set if the last read of the table service failed.
	storeFailing bool
	wake         chan struct{}

	current atomic.Pointer[config.State]

	mu        sync.Mutex
	freshness *config.Freshness
	recent    []config.Change // The latest changes, up to the current revision.
	stale     bool
}

// New returns a view without a configuration; Run or Step loads it.
func New(service tables.Service, options Options) *View {
	if options.Clock == nil {
		options.Clock = clock.Now
	}
	if options.Peers == nil {
		options.Peers = NoPeers{}
	}
	if options.Parallel == 0 {
		options.Parallel = defaultParallel
	}
	if options.Recent == 0 {
		options.Recent = defaultRecent
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = defaultSnapshotEvery
	}
	return &View{
		tables:    service,
		options:   options,
		fanout:    initialFanout,
		wake:      make(chan struct{}, 1),
		freshness: config.NewFreshness(),
	}
}

// Current returns the current state, or nil while this process has no recent
// evidence that its state is current.
func (v *View) Current() *config.State {
	state := v.current.Load()
	if state == nil || !v.fresh() {
		return nil
	}
	return state
}

// Latest returns the newest state that this process has received, however old
// the evidence that it is current, or nil if there is none yet.
func (v *View) Latest() *config.State { return v.current.Load() }

func (v *View) fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	fresh := v.freshness.Fresh(v.options.Clock(), config.EntryMaxStaleness)
	if fresh == v.stale && v.current.Load() != nil {
		v.stale = !fresh
		log.Info("Configuration freshness changed.", "fresh", fresh, "revision", v.current.Load().Revision)
	}
	return fresh
}

// Evidence returns the age of the latest evidence that this process's revision is
// current, or false if there is none.
func (v *View) Evidence() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshness.Age(v.options.Clock())
}

// Run keeps the view up to date until ctx ends.
func (v *View) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		v.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-v.wake:
		}
	}
}

// Step renews the evidence once, from the table service or, if that fails, from
// peers.
func (v *View) Step(ctx context.Context) {
	v.storeMu.Lock()
	defer v.storeMu.Unlock()
	_, err := v.readStore(ctx)
	v.recordReadResult(err)
	if err != nil {
		v.queryPeers(ctx)
	}
}

// recordReadResult counts failed reads of the table service and logs when
// failures begin and end.
func (v *View) recordReadResult(err error) {
	failing := err != nil
	if failing {
		v.count("config", "store_failed")
	}
	if failing && !v.storeFailing {
		log.Error(err, "Reading the configuration from the table service failed; querying other entries.")
	}
	if !failing && v.storeFailing {
		log.Info("Reading the configuration from the table service succeeds again.")
	}
	v.storeFailing = failing
}

// CatchUp reads the changes that this entry lacks from the table service.
func (v *View) CatchUp(ctx context.Context) error {
	v.storeMu.Lock()
	defer v.storeMu.Unlock()
	_, err := v.readStore(ctx)
	return err
}

// apply applies the changes that follow the current revision and skips those that
// are already applied. The caller holds mu.
func (v *View) apply(changes []config.Change) {
	state := v.latestOrEmpty()
	for _, change := range changes {
		if change.Revision <= state.Revision {
			continue
		}
		next, err := state.Apply(change)
		if err != nil {
			break
		}
		state = next
		v.recent = append(v.recent, change)
	}
	if excess := len(v.recent) - v.options.Recent; excess > 0 {
		v.recent = append([]config.Change(nil), v.recent[excess:]...)
	}
	v.install(state)
}

// applySnapshot replaces the state if the snapshot is newer. The caller holds mu.
func (v *View) applySnapshot(snapshot config.Snapshot) {
	if snapshot.Revision <= v.latestOrEmpty().Revision {
		return
	}
	v.recent = nil
	v.install(snapshot.State())
}

func (v *View) latestOrEmpty() *config.State {
	if state := v.current.Load(); state != nil {
		return state
	}
	return config.Empty()
}

func (v *View) install(state *config.State) {
	previous := v.current.Load()
	if previous != nil {
		if previous.Revision == state.Revision {
			return
		}
		invariant.Check(state.Revision >= previous.Revision, invariant.RevisionNeverFalls, "revision %d after %d", state.Revision, previous.Revision)
	}
	v.current.Store(state)
	log.Info("A new configuration revision was installed.", "revision", state.Revision)
}

// changesAfter returns the changes after revision, or false if some of them are
// no longer in memory. The caller holds mu.
func (v *View) changesAfter(revision config.Revision) ([]config.Change, bool) {
	held := v.latestOrEmpty().Revision
	if revision >= held {
		return nil, true
	}
	if len(v.recent) == 0 || v.recent[0].Revision > revision+1 {
		return nil, false
	}
	return v.recent[int(revision+1-v.recent[0].Revision):], true
}

func (v *View) count(parts ...string) {
	if v.options.Counter != nil {
		v.options.Counter.Count(parts...)
	}
}
