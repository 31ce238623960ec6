package node_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// statingEngine is an endpoint that states in its answers whether it leaves or wants no
// requests.
type statingEngine struct {
	*sitetest.Endpoint
	*sitetest.Stating
	service, stage string
}

// row returns the row that the endpoint writes with a heartbeat number.
func (e *statingEngine) row(sequence, born int) map[string]any {
	row := e.RowAt(e.Address, sequence, e.service, "dc", "ready", e.stage)
	row["born"] = born
	return row
}

// addStating registers endpoints of a service that state nothing yet.
func (h *harness) addStating(service, stage string, next func(http.ResponseWriter, *http.Request), ids ...string) []*statingEngine {
	var added []*statingEngine
	for _, id := range ids {
		s := sitetest.NewStating(next)
		e := &statingEngine{Endpoint: sitetest.NewEndpoint(h.t, id, s.Serve), Stating: s, service: service, stage: stage}
		h.store.Put(site.TableEndpoints, id, e.row(1, 1))
		added = append(added, e)
	}
	return added
}

// newStatingHarness is like newHarness, for a test with a name that is no file name.
func newStatingHarness(t *testing.T) *harness {
	h := newFakes(t)
	h.vm = sitetest.NewVM(t, "vm", "dc", h.store.Address, h.duties.Address)
	return h
}

// sendLong sends a request with a new prompt that is long enough for a prefill on another
// engine.
func (h *harness) sendLong(path string) result {
	return h.send(http.MethodPost, path, "key", func(r *http.Request) {
		r.Header.Set(sitetest.HeaderTokenCount, "4000,20")
		r.Header.Set(sitetest.HeaderPromptPrefix, fmt.Sprintf("aa:10,%d:3990", h.ids.Add(1)))
	})
}

// inUse returns the endpoint that got the latest request for a path.
func (h *harness) inUse(path string, endpoints []*statingEngine) *statingEngine {
	h.t.Helper()
	var found *statingEngine
	h.eventually(func() bool {
		before := make([]int, len(endpoints))
		for i, e := range endpoints {
			before[i] = e.Arrivals()
		}
		if h.sendLong(path).status != http.StatusOK {
			return false
		}
		for i, e := range endpoints {
			if e.Arrivals() > before[i] {
				found = e
			}
		}
		return found != nil
	})
	return found
}

// statingCases are the kinds of calls that an endpoint may answer.
var statingCases = map[string]struct {
	path string
	add  func(h *harness) []*statingEngine
}{
	"plain":               {plainPath, func(h *harness) []*statingEngine { return h.addStating("plain", "", nil, "a", "b") }},
	"may not be repeated": {oncePath, func(h *harness) []*statingEngine { return h.addStating("plain", "", nil, "a", "b") }},
	"stream": {streamPath, func(h *harness) []*statingEngine {
		return h.addStating("model", "decode", sitetest.Events(3, 0), "a", "b")
	}},
	"prefill": {modelPath, func(h *harness) []*statingEngine {
		h.register(sitetest.NewEndpoint(h.t, "d", sitetest.Events(3, 0)), "model", "decode")
		return h.addStating("model", "prefill", sitetest.WithPrefill("h", nil), "a", "b")
	}},
	"decode after prefill": {modelPath, func(h *harness) []*statingEngine {
		h.register(sitetest.NewEndpoint(h.t, "p", sitetest.WithPrefill("h", nil)), "model", "prefill")
		return h.addStating("model", "decode", sitetest.Events(3, 0), "a", "b")
	}},
}

// awaitSaidLeaving sends requests until an endpoint has said that it leaves. Several callers send them:
// one after another, they all go to the endpoint that has answered sooner.
func (h *harness) awaitSaidLeaving(path string, e *statingEngine) {
	h.t.Helper()
	ctx, cancel := context.WithCancel(h.t.Context())
	defer cancel()
	senders := h.callers(ctx, 5, path, func(result, time.Duration) {})
	h.eventually(e.SaidLeaving)
	cancel()
	senders.Wait()
}

// requireNoRequests sends requests and requires that none reaches an endpoint.
func (h *harness) requireNoRequests(path string, e *statingEngine, after string) {
	h.t.Helper()
	before := e.Arrivals()
	for range 8 {
		h.sendLong(path)
	}
	require.Equal(h.t, before, e.Arrivals(), "%s got requests %s", e.ID, after)
}

// An endpoint said in its answers that it leaves, while the store that would have said so
// was away or came back from an older copy: it got requests until its address was gone.
func TestEndpointThatSaysItLeavesGetsNoFurtherRequests(t *testing.T) {
	for name, c := range statingCases {
		t.Run(name, func(t *testing.T) {
			h := newStatingHarness(t)
			endpoints := c.add(h)
			h.run()
			leaves := h.inUse(c.path, endpoints)
			older := h.store.Copy()
			h.store.SetSilent(true)
			leaves.SetLeaving(true)
			h.awaitSaidLeaving(c.path, leaves)
			h.requireNoRequests(c.path, leaves, "while the store was silent")

			h.store.SetSilent(false)
			h.store.Put(site.TableEndpoints, leaves.ID, leaves.row(2, 1))
			time.Sleep(time.Second)
			h.requireNoRequests(c.path, leaves, "after a heartbeat that says ready")

			h.store.Delete(site.TableEndpoints, leaves.ID)
			time.Sleep(time.Second)
			h.store.Put(site.TableEndpoints, leaves.ID, leaves.row(3, 1))
			time.Sleep(time.Second)
			h.requireNoRequests(c.path, leaves, "after it was listed anew")

			h.store.Restore(older)
			time.Sleep(7 * time.Second) // Longer than a removed endpoint's return from a copy is deferred.
			h.requireNoRequests(c.path, leaves, "after the store came back from an older copy")
		})
	}
}

// An endpoint that turns requests away because it leaves says so in that answer alone.
func TestEndpointThatSaysItLeavesInARefusalGetsNoFurtherRequests(t *testing.T) {
	for name, c := range statingCases {
		t.Run(name, func(t *testing.T) {
			h := newStatingHarness(t)
			endpoints := c.add(h)
			h.run()
			leaves := h.inUse(c.path, endpoints)
			h.store.SetSilent(true)
			leaves.SetLeaving(true)
			leaves.Refuse(1, "0")
			h.awaitSaidLeaving(c.path, leaves)
			time.Sleep(500 * time.Millisecond) // Longer than an endpoint is spared after any refusal.
			h.requireNoRequests(c.path, leaves, "after its refusal")
		})
	}
}

// A new start of an endpoint under the same ID takes requests again: what its former
// process said does not hold for it.
func TestEndpointThatStartsAgainAfterItLeftIsUsed(t *testing.T) {
	h := newStatingHarness(t)
	e := h.addStating("plain", "", nil, "a")[0]
	h.run()
	h.waitUntilServing(plainPath)
	e.SetLeaving(true)
	h.eventually(func() bool {
		h.sendLong(plainPath)
		return e.SaidLeaving()
	})
	got := h.sendLong(plainPath)
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.NotEmpty(t, got.header.Get("Retry-After"))
	e.SetLeaving(false)
	h.store.Put(site.TableEndpoints, e.ID, e.row(1, 2))
	h.waitUntilServing(plainPath)
}

// The store came back from a copy that was older than the last start of an endpoint that
// had said that it leaves: under its earlier start it got requests.
func TestEndpointThatSaysItLeavesGetsNoRequestsUnderAnEarlierStart(t *testing.T) {
	h := newStatingHarness(t)
	leaves := h.addStating("plain", "", nil, "a")[0]
	h.run()
	h.waitUntilServing(plainPath)
	older := h.store.Copy()
	h.store.Put(site.TableEndpoints, leaves.ID, leaves.row(1, 2))
	time.Sleep(time.Second)
	leaves.SetLeaving(true)
	h.eventually(func() bool {
		h.sendLong(plainPath)
		return leaves.SaidLeaving()
	})
	h.store.Delete(site.TableEndpoints, leaves.ID)
	time.Sleep(time.Second)
	h.store.Restore(older)
	time.Sleep(7 * time.Second) // Longer than a removed endpoint's return from a copy is deferred.
	h.requireNoRequests(plainPath, leaves, "after the store came back from a copy that was older than its start")
}
