package node_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

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
	before, after := sitetest.NewVersionedEngine(t, "again", "v1"), sitetest.NewVersionedEngine(t, "again", "v2")
	var started atomic.Bool
	again := sitetest.NewEndpoint(t, "again", func(w http.ResponseWriter, r *http.Request) {
		if started.Load() {
			after.Serve(w, r)
			return
		}
		before.Serve(w, r)
	})
	row := again.Row("model", "dc", "ready", "decode")
	row["version"] = "v1"
	f.store.Put(site.TableEndpoints, again.ID, row)
	f.store.Delete(site.TableEndpoints, breaking[0].ID)
	f.awaitServed(p.entryProcess, again)
	p.freeze()
	started.Store(true)
	sitetest.StartedAgain(row, "v2")
	f.store.Put(site.TableEndpoints, again.ID, row)
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
