package node_test

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: while an entry process was frozen, an engine started again under
// its ID with other software. Streams of the version before were sent there as soon as the
// process ran again, before it had read the new entry.
func TestStreamDoesNotGoOnAtAnEngineThatStartedAgainWhileTheProcessWasFrozen(t *testing.T) {
	f := newVersionedFleet(t, 0)
	p := f.startFreezable("vm-p")
	breaking := f.addEngines("v1", 1)
	f.awaitVersion(p.entryProcess, "v1")
	breakAll(breaking, true)
	begun := f.begin(p.entryProcess, 12)
	again, started := f.addRestarting("again")
	f.store.Delete(site.TableEndpoints, breaking[0].ID)
	f.awaitServed(p.entryProcess, again)
	p.freeze()
	started()
	f.store.SetSilent(true) // Until a moment after the process runs again.
	time.Sleep(2 * settleTime)
	time.AfterFunc(settleTime/2, func() { f.store.SetSilent(false) })
	f.takeUpAtOnce(p, begun)
	f.list(sitetest.NewVersionedEngine(t, "stays", "v1"))
	f.eventually(func() bool { return f.takeUpAll(p.entryProcess, begun) == len(begun) })
}

// awaitServed waits until a process sends streams to an endpoint.
func (f *versionedFleet) awaitServed(p *entryProcess, e *sitetest.Endpoint) {
	f.t.Helper()
	f.eventually(func() bool {
		before := len(e.Requests())
		f.on(p).send(http.MethodPost, streamPath, "key", nil)
		return len(e.Requests()) > before
	})
}

// addRestarting lists an engine of v1 that becomes one of v2, under its ID, once start is called.
func (f *versionedFleet) addRestarting(id string) (e *sitetest.Endpoint, start func()) {
	before, after := sitetest.NewVersionedEngine(f.t, id, "v1"), sitetest.NewVersionedEngine(f.t, id, "v2")
	var started atomic.Bool
	e = sitetest.NewEndpoint(f.t, id, func(w http.ResponseWriter, r *http.Request) {
		if started.Load() {
			after.Serve(w, r)
			return
		}
		before.Serve(w, r)
	})
	row := e.Row("model", "dc", "ready", "decode")
	row["version"] = "v1"
	f.store.Put(site.TableEndpoints, id, row)
	return e, func() {
		started.Store(true)
		e.StartAgain(sitetest.NextStartMS)
		sitetest.StartedAgain(row, "v2")
		f.store.Put(site.TableEndpoints, id, row)
	}
}

// Guards against joined streams: an engine started again under its ID with other software while a
// process was cut off from the store and from the others. The process sent it streams of the
// version before, as in an outage of the store.
func TestStreamDoesNotGoOnAtAnEngineThatStartedAgainWhileTheProcessWasCutOff(t *testing.T) {
	f := newVersionedFleet(t, 0)
	link := newStoreLink(t, f.store.Address)
	other := f.startFreezable("vm-other")
	p := f.startProcessAt(link.address)
	breaking := f.addEngines("v1", 1)
	f.awaitVersion(p, "v1")
	breakAll(breaking, true)
	begun := f.begin(p, 6)
	again, start := f.addRestarting("again")
	f.store.Delete(site.TableEndpoints, breaking[0].ID)
	f.awaitServed(p, again)
	link.cut.Store(true)
	other.freeze() // Nobody else is left to talk to.
	f.store.LoseHeldCalls()
	start()
	time.Sleep(3 * settleTime)
	f.takeUpAll(p, begun)
	f.list(sitetest.NewVersionedEngine(t, "stays", "v1"))
	other.thaw()
	link.cut.Store(false)
	f.eventually(func() bool { return f.takeUpAll(p, begun) == len(begun) })
}

// Guards against refused take-ups: a list of endpoints that grows old as an outage of the store
// begins is no sign that this process was frozen.
func TestStreamsGoOnWhileAnOutageOfTheStoreBegins(t *testing.T) {
	f := newVersionedFleet(t, 2)
	engines := f.addEngines("v1", 2)
	p := f.processes[0]
	f.awaitVersion(p, "v1")
	breakAll(engines, true)
	begun := f.begin(p, 4)
	breakAll(engines, false)
	time.Sleep(3 * settleTime) // The process has not started in the outage.
	f.store.SetSilent(true)
	const takeUps = 60
	var wentOn atomic.Int64
	var callers sync.WaitGroup
	for i := range takeUps {
		callers.Go(func() {
			if f.takeUp(p, begun[i%len(begun)]).status == http.StatusOK {
				wentOn.Add(1)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	callers.Wait()
	require.GreaterOrEqual(t, wentOn.Load(), int64(takeUps*19/20), "of %d", takeUps)
	t.Log(wentOn.Load(), "of", takeUps)
}
