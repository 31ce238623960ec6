package node_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site/sitetest"
)

// All processes are restarted one after the other while the store is
// unavailable. Each must get the configuration and the fleet from a peer and
// serve requests.
func TestProcessStartedDuringAStoreOutageServes(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", nil)
	h.register(e, "plain", "")
	h.run()
	h.waitUntilServing(plainPath)
	h.store.SetDown(true)

	second := sitetest.NewVM(t, "second", "dc-2", h.store.Address, h.duties.Address)
	second.AddSeed(t, h.vm)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, node.Options{SettingsPath: second.SettingsPath}) }()
	h.awaitReady(second, done)
	h.vm.CallerAddress = second.CallerAddress
	require.Equal(t, http.StatusOK, h.send(http.MethodPost, plainPath, "key", nil).status)
	require.Equal(t, http.StatusUnauthorized, h.send(http.MethodPost, plainPath, "no key", nil).status)
	cancel()
	require.NoError(t, <-done)
}
