package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stop by the grace period that the settings stated when the process
// started: they may have been reloaded since.
func TestStopKeepsTheGracePeriodInForce(t *testing.T) {
	const running = 5 * time.Second
	h := newHarness(t)
	h.vm.SetStopGracePeriod(t, 3)
	e := sitetest.NewEndpoint(t, "e1", func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(running):
			_, _ = w.Write([]byte("whole")) // An error shows in what the caller receives.
		case <-r.Context().Done():
		}
	})
	h.register(e, "plain", "")
	h.run()
	h.vm.SetStopGracePeriod(t, 9)
	reloadRepeatedly(t, func(int) {})
	answered := make(chan result, 1)
	go func() {
		answered <- h.send(http.MethodPost, oncePath, "key", func(r *http.Request) { r.Header.Set(sitetest.HeaderDeadline, "9000") })
	}()
	h.eventually(func() bool { return len(e.Requests()) == 1 })
	h.stop()
	got := <-answered
	require.NoError(t, got.err)
	require.Equal(t, http.StatusOK, got.status)
	require.Equal(t, "whole", got.body)
}
