package node_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// storeLink is the connection of one process to the store, which a test may cut.
type storeLink struct {
	address string
	cut     atomic.Bool
	ended   chan struct{}
}

func newStoreLink(t *testing.T, store string) *storeLink {
	l := &storeLink{ended: make(chan struct{})}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.cut.Load() {
			select { // Nothing arrives.
			case <-r.Context().Done():
			case <-l.ended:
			}
			panic(http.ErrAbortHandler)
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(func() {
		close(l.ended)
		server.CloseClientConnections()
		server.Close()
	})
	l.address = strings.TrimPrefix(server.URL, "http://")
	return l
}

// cutOffFleet is a fleet of two entry processes, of which the harness sends to the one that
// can be cut off from the store.
type cutOffFleet struct {
	*harness
	link  *storeLink
	other *harness // Sends to the other process.
}

func newCutOffFleet(t *testing.T) *cutOffFleet {
	h := newFakes(t)
	f := &cutOffFleet{harness: h, link: newStoreLink(t, h.store.Address)}
	f.vm = sitetest.NewVM(t, "vm-0", "dc", f.link.address, h.duties.Address)
	f.other = &harness{t: t, vm: sitetest.NewVM(t, "vm-1", "dc", h.store.Address, h.duties.Address), done: make(chan error, 1)}
	f.other.ids.Store(1_000_000)
	return f
}

// start starts both processes.
func (f *cutOffFleet) start() {
	f.run()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { f.other.done <- node.Run(ctx, node.Options{SettingsPath: f.other.vm.SettingsPath}) }()
	f.t.Cleanup(func() {
		cancel()
		<-f.other.done
	})
	f.awaitReady(f.other.vm, f.other.done)
}

// An endpoint said to a process that was cut off from the store that it leaves. The other
// process told it of rows that said ready, and so did the store when the cut had ended: it
// must get no requests from it all the same.
func TestProcessThatIsCutOffSendsNothingToAnEndpointThatLeaves(t *testing.T) {
	for name, c := range statingCases {
		t.Run(name, func(t *testing.T) {
			f := newCutOffFleet(t)
			endpoints := c.add(f.harness)
			f.start()
			leaves := f.inUse(c.path, endpoints)
			f.link.cut.Store(true)
			leaves.SetLeaving(true)
			f.awaitSaidLeaving(c.path, leaves)
			f.requireNoRequests(c.path, leaves, "while the process was cut off")
			for sequence := range 4 {
				f.store.Put(site.TableEndpoints, leaves.ID, leaves.row(2+sequence, 1))
				time.Sleep(500 * time.Millisecond)
				f.requireNoRequests(c.path, leaves, "after a heartbeat that says ready, by way of the other process")
			}
			f.link.cut.Store(false)
			time.Sleep(2 * time.Second)
			f.requireNoRequests(c.path, leaves, "after the cut")
		})
	}
}

// An endpoint that asked to wait is listed anew, in several ways, while callers keep sending:
// it must get nothing meanwhile, and requests once the time is over.
func TestEndpointThatAskedToWaitGetsNothingWhateverIsListed(t *testing.T) {
	const wait = 7 * time.Second
	for name, c := range statingCases {
		t.Run(name, func(t *testing.T) {
			f := newCutOffFleet(t)
			endpoints := c.add(f.harness)
			f.start()
			asks := f.inUse(c.path, endpoints)
			older := f.store.Copy()
			asks.Refuse(1, "7")
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			senders := f.callers(ctx, 5, c.path, func(result, time.Duration) {})
			f.eventually(func() bool { return len(asks.Refusals()) > 0 })
			f.link.cut.Store(true)
			f.store.Put(site.TableEndpoints, asks.ID, asks.row(2, 1))
			time.Sleep(time.Second)
			f.store.SetSilent(true)
			time.Sleep(time.Second)
			f.store.SetSilent(false)
			f.link.cut.Store(false)
			f.store.Delete(site.TableEndpoints, asks.ID)
			time.Sleep(time.Second)
			f.store.Put(site.TableEndpoints, asks.ID, asks.row(3, 1))
			time.Sleep(time.Second)
			f.store.Restore(older)
			senders.Wait()
			require.LessOrEqual(t, asks.MostWithinWaits(waitNotice), mostWithinWait, "requests reached an endpoint that had asked to wait")
			before := asks.Arrivals()
			for _, e := range endpoints {
				e.SetLeaving(e != asks) // The others are no longer preferred.
			}
			f.eventually(func() bool {
				f.sendLong(c.path)
				return asks.Arrivals() > before
			})
		})
	}
}
