package node_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/logging"
	"flamingospar.org/gateway/node"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against: a prompt with a part whose name is no text kept processes from exchanging
// their state for as long as such prompts came.
func TestPromptPartThatIsNoTextDoesNotEndTheExchange(t *testing.T) {
	failed := make(chan error, 100)
	logging.SetSink(func(part, message string, err error, _ []any) {
		if part == "gateway/peers" && message == "An entry process does not answer." {
			select {
			case failed <- err:
			default:
			}
		}
	})
	defer logging.SetSink(func(string, string, error, []any) {})
	h := newAlone(t, "first")
	h.register(sitetest.NewEndpoint(t, "e1", sitetest.Events(3, 0)), "model", "decode")
	h.run()
	second := sitetest.NewVM(t, "second", "dc", h.store.Address, h.duties.Address)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx, node.Options{SettingsPath: second.SettingsPath}) }()
	h.awaitReady(second, done)
	for start := time.Now(); time.Since(start) < 2*time.Second; time.Sleep(20 * time.Millisecond) {
		got := h.send(http.MethodPost, modelPath, "key", func(r *http.Request) { r.Header.Set(sitetest.HeaderPromptPrefix, "a\xff\xfe:5,b:3") })
		require.Equal(t, http.StatusOK, got.status)
	}
	select {
	case err := <-failed:
		require.NoError(t, err)
	default:
	}
	cancel()
	require.NoError(t, <-done)
}
