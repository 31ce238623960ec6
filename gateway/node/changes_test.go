package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// configurationChanges are changes of the configuration of each kind.
var configurationChanges = map[string][]sitetest.Change{
	"none but the version":  nil,
	"timeout shortened":     {sitetest.RouteTimeout(700)},
	"timeout lengthened":    {sitetest.RouteTimeout(60_000)},
	"routes moved":          {sitetest.RoutesTo("other")},
	"routes split":          {sitetest.RoutesSplit("other")},
	"routes removed":        {sitetest.RoutesRemoved()},
	"one attempt":           {sitetest.OneAttempt()},
	"keys removed":          {sitetest.NoKeys()},
	"small limits":          {sitetest.SmallLimits()},
	"few connections":       {sitetest.ServiceMaxConns(1)},
	"all at the same time":  {sitetest.RouteTimeout(700), sitetest.RoutesTo("other"), sitetest.OneAttempt(), sitetest.NoKeys(), sitetest.SmallLimits(), sitetest.ServiceMaxConns(1)},
	"moved and no attempts": {sitetest.RoutesTo("other"), sitetest.OneAttempt()},
}

// A change of the configuration must end nothing that was admitted before it, also while
// endpoints are silent.
func TestChangesOfTheConfigurationEndNoRequest(t *testing.T) {
	for name, changes := range configurationChanges {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.registerSilent()
			h.run()
			h.waitUntilKnown(plainPath)
			check := h.startEveryKind(t)
			time.Sleep(silence / 2)
			h.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Changed(t, manifest(2, "key"), changes...))
			check()
		})
	}
}

// Versions in quick succession, which move the routes to and fro.
func TestManyChangesOfTheConfigurationEndNoRequest(t *testing.T) {
	h := newHarness(t)
	h.registerSilent()
	h.run()
	h.waitUntilKnown(plainPath)
	check := h.startEveryKind(t)
	time.Sleep(silence / 2) // All have been admitted.
	version := 1
	for until := time.Now().Add(silence); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		for _, changes := range configurationChanges {
			version++
			h.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Changed(t, manifest(version, "key"), changes...))
		}
	}
	check()
}

// Endpoints that leave the list, or say that they drain, still finish what they run.
func TestEndpointsThatLeaveTheListFinishTheirRequests(t *testing.T) {
	for _, state := range []string{"removed", "draining"} {
		t.Run(state, func(t *testing.T) {
			h := newHarness(t)
			h.registerSilent()
			h.run()
			h.waitUntilKnown(plainPath)
			check := h.startEveryKind(t)
			time.Sleep(silence / 2)
			for _, id := range []string{"m1", "m2", "p1", "p2"} {
				h.leaveList(id, state)
			}
			check()
		})
	}
}

// leaveList removes an endpoint from the list, or states that it drains.
func (h *harness) leaveList(id, state string) {
	if state == "removed" {
		h.store.Delete(site.TableEndpoints, id)
		return
	}
	h.store.PutRaw(site.TableEndpoints, id, sitetest.EndpointRow(2, 1, true))
}

// waitUntilKnown waits until the process knows the configuration: a path of it needs a key.
func (h *harness) waitUntilKnown(path string) {
	h.t.Helper()
	h.eventually(func() bool { return h.send(http.MethodGet, path, "wrong", nil).status == http.StatusUnauthorized })
	require.Equal(h.t, http.StatusOK, h.status(fmt.Sprintf("http://%s%s", h.vm.ReadyAddress, site.ReadyPath)))
}
