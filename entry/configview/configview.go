// Package configview keeps the configuration in force at this entry: it follows
// the log of changes in the table service, catches up from other entries on
// contact, and writes operators' changes to the log. It shows the configuration
// only while it can prove that it was current a short while ago.
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
	// recentChanges are kept in memory for others that catch up.
	recentChanges = 1024
)

var log = logging.For("entry/config")

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Options are what a view may use beside the table service. All may be zero.
type Options struct {
	Instance string
	Peers    Peers
	Objects  objects.Store // For snapshots.
	Clock    clock.Clock
	Counter  Counter
	// Parallel bounds concurrent calls to other entries.
	Parallel int
	// Recent is the number of changes that are kept in memory for others.
	Recent int
	// SnapshotEvery is the number of changes between snapshots.
	SnapshotEvery config.Revision
}

// View follows the configuration. It is safe for concurrent use.
type View struct {
	tables  tables.Service
	options Options

	following sync.Mutex // Serialises reading and writing the store.
	width     int        // Peers to ask in the next round.
	// storeFailing is set while the last read of the store failed.
	storeFailing bool
	wake         chan struct{}

	current atomic.Pointer[config.State]

	mu        sync.Mutex
	freshness *config.Freshness
	recent    []config.Change // The last changes up to the current revision.
	stale     bool
}

// New returns a view that holds nothing yet.
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
		options.Recent = recentChanges
	}
	if options.SnapshotEvery == 0 {
		options.SnapshotEvery = defaultSnapshotEvery
	}
	return &View{
		tables:    service,
		options:   options,
		width:     firstWidth,
		wake:      make(chan struct{}, 1),
		freshness: config.NewFreshness(),
	}
}

// Current returns the state in force, nil while this process can't prove that
// it is current.
func (v *View) Current() *config.State {
	state := v.current.Load()
	if state == nil || !v.fresh() {
		return nil
	}
	return state
}

// Held returns the newest state that this process has seen, however old the
// proof that it is current; nil before the first.
func (v *View) Held() *config.State { return v.current.Load() }

func (v *View) fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	fresh := v.freshness.Fresh(v.options.Clock(), config.EntryMaxStaleness)
	if fresh == v.stale && v.current.Load() != nil {
		v.stale = !fresh
		log.Info("Freshness changed.", "fresh", fresh, "revision", v.current.Load().Revision)
	}
	return fresh
}

// Evidence returns how long ago this process had evidence that its revision was
// current, false when it never had any.
func (v *View) Evidence() (time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshness.Age(v.options.Clock())
}

// Run follows the log until ctx ends.
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

// Step renews the evidence once: from the store, and without it from peers.
func (v *View) Step(ctx context.Context) {
	v.following.Lock()
	defer v.following.Unlock()
	_, err := v.readStore(ctx)
	v.noteStore(err)
	if err != nil {
		v.askPeers(ctx)
	}
}

// noteStore counts failures and logs when they begin and end.
func (v *View) noteStore(err error) {
	failing := err != nil
	if failing {
		v.count("config", "store_failed")
	}
	if failing && !v.storeFailing {
		log.Error(err, "The configuration can't be read from the store; other entries are asked.")
	}
	if !failing && v.storeFailing {
		log.Info("The configuration is read from the store again.")
	}
	v.storeFailing = failing
}

// CatchUp reads the changes that are not yet in force here from the store.
func (v *View) CatchUp(ctx context.Context) error {
	v.following.Lock()
	defer v.following.Unlock()
	_, err := v.readStore(ctx)
	return err
}

// take applies the changes that follow the current revision and skips those
// that are already held. It is called with mu held.
func (v *View) take(changes []config.Change) {
	state := v.heldOrEmpty()
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
	if extra := len(v.recent) - v.options.Recent; extra > 0 {
		v.recent = append([]config.Change(nil), v.recent[extra:]...)
	}
	v.install(state)
}

// takeSnapshot installs a newer state as a whole. It is called with mu held.
func (v *View) takeSnapshot(snapshot config.Snapshot) {
	if snapshot.Revision <= v.heldOrEmpty().Revision {
		return
	}
	v.recent = nil
	v.install(snapshot.State())
}

func (v *View) heldOrEmpty() *config.State {
	if state := v.current.Load(); state != nil {
		return state
	}
	return config.Empty()
}

func (v *View) install(state *config.State) {
	before := v.current.Load()
	if before != nil {
		if before.Revision == state.Revision {
			return
		}
		invariant.Check(state.Revision >= before.Revision, invariant.RevisionNeverFalls, "revision %d after %d", state.Revision, before.Revision)
	}
	v.current.Store(state)
	log.Info("A new revision is held.", "revision", state.Revision)
}

// after returns the held changes that follow revision, false when some of them
// are no longer in memory. It is called with mu held.
func (v *View) after(revision config.Revision) ([]config.Change, bool) {
	held := v.heldOrEmpty().Revision
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
