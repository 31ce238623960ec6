package node_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// All processes are restarted one after the other while the store is away. Each
// gets from another what is in force, and serves.
func TestProcessThatStartsInAnOutageOfTheStoreServes(t *testing.T) {
	w := start(t)
	e := sitetest.NewEndpoint(t, "e1", nil)
	w.add(e, "plain", "")
	w.run()
	w.known(plainPath)
	w.store.SetDown(true)

	second := sitetest.NewVM(t, "second", "dc-2", w.store.Address, w.duties.Address)
	second.Seed(t, w.vm)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, node.Options{SettingsPath: second.Settings}) }()
	w.eventually(func() bool { return w.status("http://"+second.Ready+site.ReadyPath) == http.StatusOK })
	w.vm.Callers = second.Callers
	require.Equal(t, http.StatusOK, w.send(http.MethodPost, plainPath, "key", nil).status)
	require.Equal(t, http.StatusUnauthorized, w.send(http.MethodPost, plainPath, "no key", nil).status)
	cancel()
	require.NoError(t, <-done)
}
