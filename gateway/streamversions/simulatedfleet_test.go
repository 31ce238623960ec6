package streamversions_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/gateway/streamversions"
	"flamingospar.org/platform/site"
)

// seededDraws draws numbers from a seed.
type seededDraws struct {
	mu     sync.Mutex
	source *rand.Rand
}

// draws is the source of the drawn releases, which are played one after the other.
var draws = newSeededDraws()

func newSeededDraws() *seededDraws {
	d := new(seededDraws)
	d.seed(0)
	return d
}

func (d *seededDraws) seed(seed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.source = rand.New(rand.NewPCG(seed, 0))
}

// IntN returns a number of at least 0 and below n.
func (d *seededDraws) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.IntN(n)
}

// gate is a connection that may be closed for some time. What is under way then arrives
// once it is open again.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // Nil while it is open.
}

func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.opened != nil {
		close(g.opened)
		g.opened = nil
	}
}

// pass waits for a delay, and until the gate is open. It reports false once ctx has ended.
func (g *gate) pass(ctx context.Context, delay time.Duration) bool {
	time.Sleep(delay)
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	if opened == nil {
		return true
	}
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}

// simulatedProcess is a tracker in simulated time, with its connections.
type simulatedProcess struct {
	*streamversions.Tracker
	fleet  *simulatedFleet
	index  int
	store  gate
	peers  gate
	frozen bool // Nothing begins here.
}

// delay is the time that a message takes.
func delay() time.Duration { return time.Duration(1+draws.IntN(20)) * time.Millisecond }

// ctxOf returns the context of a call: one that began before a freeze may return after it with
// an old answer.
func (p *simulatedProcess) ctxOf(ctx context.Context) context.Context {
	if p.fleet.freezes {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// TableByPage implements streamversions.Store.
func (p *simulatedProcess) TableByPage(ctx context.Context, _ string, pageTimeout time.Duration) (site.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	ctx = p.ctxOf(ctx)
	if !p.store.pass(ctx, delay()) {
		return site.Page{}, site.ErrOutcomeUnknown
	}
	page := p.fleet.store.read()
	if !p.store.pass(ctx, delay()) {
		return site.Page{}, site.ErrOutcomeUnknown
	}
	return page, nil
}

// Commit implements streamversions.Store.
func (p *simulatedProcess) Commit(ctx context.Context, tx site.Tx) (site.Page, error) {
	ctx = p.ctxOf(ctx)
	if !p.store.pass(ctx, delay()) {
		return site.Page{}, site.ErrOutcomeUnknown
	}
	page, err := p.fleet.store.commit(tx)
	if !p.store.pass(ctx, delay()) {
		return site.Page{}, site.ErrOutcomeUnknown
	}
	return page, err
}

// Era implements streamversions.Store.
func (p *simulatedProcess) Era() int64 { return 0 }

// AmongFirst implements streamversions.Fleet.
func (p *simulatedProcess) AmongFirst(n int) bool { return p.index < n }

// Size implements streamversions.Fleet.
func (p *simulatedProcess) Size() int { return len(p.fleet.processes) }

// FindStream implements streamversions.Fleet.
func (p *simulatedProcess) FindStream(ctx context.Context, id uint64) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, 150*time.Millisecond)
	defer cancel()
	for _, other := range p.fleet.processes {
		if other == p || !p.peers.pass(ctx, delay()) || !other.peers.pass(ctx, delay()) {
			continue
		}
		if version, ok := other.Remembered(id); ok {
			return version, true
		}
	}
	return "", false
}

// simulatedFleet is a number of processes in simulated time, one of which is cut off or frozen
// for some time.
type simulatedFleet struct {
	ctx       context.Context
	stop      context.CancelFunc
	store     *simulatedStore
	processes []*simulatedProcess
	freezes   bool
	tasks     sync.WaitGroup

	mu      sync.Mutex
	begun   map[string]string // The version of each stream.
	joined  []string
	wentOn  int // At processes in good contact.
	refused int
}

func newSimulatedFleet(t *testing.T, processes int, freezes bool) *simulatedFleet {
	f := &simulatedFleet{store: newSimulatedStore(), freezes: freezes, begun: make(map[string]string)}
	f.ctx, f.stop = context.WithCancel(t.Context())
	for i := range processes {
		p := &simulatedProcess{fleet: f, index: i}
		p.Tracker = streamversions.New(p, p, fmt.Sprint("p", i), meter.NewRegistry())
		f.processes = append(f.processes, p)
	}
	for _, p := range f.processes {
		f.tasks.Go(func() { p.Run(f.ctx) })
		f.tasks.Go(func() { p.exchange(f.ctx) })
	}
	return f
}

// exchange tells the other processes each 100 ms which versions are in use.
func (p *simulatedProcess) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		inUse := p.InUse()
		for _, other := range p.fleet.processes {
			if other != p {
				p.fleet.tasks.Go(func() {
					if p.peers.pass(ctx, delay()) && other.peers.pass(ctx, delay()) {
						other.MergeInUse(inUse)
					}
				})
			}
		}
	}
}

// list tells each process of an engine, or that it is gone if version is empty.
func (f *simulatedFleet) list(id, version string) {
	for _, p := range f.processes {
		f.tasks.Go(func() {
			if !p.store.pass(f.ctx, 5*delay()) {
				return
			}
			f.mu.Lock()
			defer f.mu.Unlock()
			if version == "" {
				p.EndpointGone(id)
				return
			}
			p.EndpointChanged(site.Endpoint{ID: id, Service: "s", Stage: site.Decode, SoftwareVersion: version})
		})
	}
}

// begin begins a stream at an engine that a process lists, if a stream may begin there.
func (f *simulatedFleet) begin(p *simulatedProcess, id string) bool {
	registered, _ := p.Registered("s")
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.frozen || len(registered) == 0 {
		return false
	}
	version := registered[draws.IntN(len(registered))]
	p.RecordStream("s", id, version)
	f.begun[id] = version
	return true
}

// takeUp takes a stream up at a process.
func (f *simulatedFleet) takeUp(p *simulatedProcess, id string, inContact bool) {
	found, ok := p.Find(f.ctx, streamversions.TakeUp{Service: "s", Services: []string{"s"}, RequestID: "again-" + id, ResumedRequestID: id})
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case ok && found.Version != f.begun[id]:
		f.joined = append(f.joined, fmt.Sprintf("%s of %s at %s", id, f.begun[id], found.Version))
	case inContact && ok:
		f.wentOn++
	case inContact:
		f.refused++
	}
}

// interruption is what happens to one process.
type interruption struct {
	name         string
	store, peers bool // Which connections are closed.
	frozen       bool
}

// Guards against joined streams: one process was cut off or frozen for some seconds while engines
// of another version joined, crashed or were the only ones left. Streams that had begun there
// were taken up at this process right after.
func TestStreamsAreNotJoinedAtAProcessThatWasCutOffOrFrozen(t *testing.T) {
	for _, c := range []interruption{
		{name: "frozen", store: true, peers: true, frozen: true},
		{name: "cut off from the store", store: true},
		{name: "cut off from the others", peers: true},
		{name: "cut off from both", store: true, peers: true},
	} {
		t.Run(strings.ReplaceAll(c.name, " ", "_"), func(t *testing.T) {
			wentOn, refused := 0, 0
			for seed := range uint64(simulatedDays) {
				draws.seed(seed)
				synctest.Test(t, func(t *testing.T) {
					f := playInterruption(t, c)
					require.Empty(t, f.joined, "seed %d", seed)
					wentOn, refused = wentOn+f.wentOn, refused+f.refused
				})
			}
			require.Greater(t, wentOn, 2*refused, "of the take-ups at processes in good contact, %d were refused", refused)
			t.Logf("%d went on, %d were refused", wentOn, refused)
		})
	}
}

// simulatedDays is how many drawn sequences of each kind are played.
const simulatedDays = 3

// playInterruption plays a release of v2 during which one process is interrupted. Streams begin
// at all processes, and are taken up at any process, many at the interrupted one right after.
func playInterruption(t *testing.T, c interruption) *simulatedFleet {
	f := newSimulatedFleet(t, 4, c.frozen)
	defer f.tasks.Wait()
	defer f.stop()
	f.list("a1", "v1")
	f.list("a2", "v1")
	time.Sleep(2 * time.Second)
	victim := f.processes[draws.IntN(len(f.processes))]
	from := time.Duration(draws.IntN(3000)) * time.Millisecond
	until := from + time.Duration(200+draws.IntN(4000))*time.Millisecond
	joins := time.Duration(draws.IntN(4000)) * time.Millisecond
	gone := joins + time.Duration(draws.IntN(4000))*time.Millisecond
	f.at(joins, func() { f.list("b1", "v2"); f.list("b2", "v2") })
	f.at(gone, func() {
		id := []string{"b1", "a1", "a2"}[draws.IntN(3)]
		f.list(id, "")
		if id == "a1" {
			f.list("a2", "")
		}
	})
	var streams []string
	f.at(from, func() {
		f.mu.Lock()
		victim.frozen = c.frozen
		f.mu.Unlock()
		if c.store {
			victim.store.close()
		}
		if c.peers {
			victim.peers.close()
		}
	})
	f.at(until, func() {
		f.mu.Lock()
		victim.frozen = false
		lately := slices.Clone(streams[max(0, len(streams)-40):])
		f.mu.Unlock()
		for _, id := range lately {
			f.at(time.Duration(draws.IntN(300))*time.Millisecond, func() { f.takeUp(victim, id, false) })
		}
		victim.store.open()
		victim.peers.open()
	})
	for i := range 500 { // One each 20 ms.
		time.Sleep(20 * time.Millisecond)
		id := fmt.Sprint("x", i)
		if !f.begin(f.processes[draws.IntN(len(f.processes))], id) {
			continue
		}
		f.mu.Lock()
		streams = append(streams, id)
		f.mu.Unlock()
		at := f.processes[draws.IntN(len(f.processes))]
		f.at(time.Duration(draws.IntN(2000))*time.Millisecond, func() {
			f.mu.Lock()
			frozen := at.frozen
			f.mu.Unlock()
			if !frozen {
				f.takeUp(at, id, at != victim)
			}
		})
	}
	time.Sleep(5 * time.Second)
	return f
}

// at calls act after a time.
func (f *simulatedFleet) at(after time.Duration, act func()) {
	f.tasks.Go(func() {
		time.Sleep(after)
		act()
	})
}

// Guards against joined streams: a read of the table had been sent before another version came
// into use, and was answered after a take-up had begun to wait, as after a pause of the process.
func TestReadThatWasSentBeforeATakeUpDoesNotDecideIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newSimulatedStore()
		slow := &lateAnswers{simulatedStore: store}
		p, q := newProcessOn(t, slow, testFleet{first: true}, "p"), newProcessOn(t, &lateAnswers{simulatedStore: store}, testFleet{first: true}, "q")
		ctx, cancel := context.WithCancel(t.Context())
		go q.Run(ctx)
		q.list("v1")
		synctest.Wait()
		const answered = 200 * time.Millisecond
		slow.set(answered, 0)
		go p.find("of v1")
		time.Sleep(answered / 2)
		q.list("v1", "v2")
		synctest.Wait()
		require.Contains(t, store.value("in-use/s"), `"v2"`)
		q.RecordStream("s", "of v2", "v2")
		require.NotEqual(t, "v1", p.find("of v2"))
		cancel()
		time.Sleep(time.Second) // Calls that are under way end.
	})
}
