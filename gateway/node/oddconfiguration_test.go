package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against requests without an answer: each one gets a response while a configuration
// with an odd field comes into force, and after that.
func TestNoRequestIsUnansweredBesideAnOddConfiguration(t *testing.T) {
	h := newHarness(t)
	serve := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(40 * time.Millisecond)
		fmt.Fprint(w, wantedBody(r.RequestURI))
	}
	h.register(sitetest.NewEndpoint(t, "p1", serve), "plain", "")
	h.register(sitetest.NewEndpoint(t, "m1", serve), "model", "decode")
	h.register(sitetest.NewEndpoint(t, "m2", serve), "model", "prefill")
	h.run()
	h.waitUntilServing(plainPath)
	var running sync.WaitGroup
	version := 1
	for name, change := range sitetest.OddChanges() {
		version++
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(version, "key"))
		h.startAnswered(&running, name+", before")
		time.Sleep(20 * time.Millisecond) // Some are under way, some are not read yet.
		version++
		marked := fmt.Sprintf("/marked%d/", version)
		h.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Changed(t, manifest(version, "key"), change, sitetest.MarkedRoute(marked)))
		h.startAnswered(&running, name+", during")
		h.eventually(func() bool {
			status := h.send(http.MethodGet, marked, "key", nil).status
			return status != http.StatusNotFound && status != 0
		})
		h.startAnswered(&running, name+", after")
	}
	running.Wait()
}

// startAnswered sends a request of each kind, which must get a whole response.
func (h *harness) startAnswered(running *sync.WaitGroup, name string) {
	for _, kind := range requestKinds {
		running.Go(func() {
			got := h.send(kind.method, kind.path, "key", func(r *http.Request) {
				if kind.change != nil {
					kind.change(r)
				}
			})
			assert.NoError(h.t, got.err, "%s: %s", name, kind.name)
		})
	}
}
