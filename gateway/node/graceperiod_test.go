package node_test

import (
	"fmt"
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

// Guards against answers that a stop with a short grace period cuts too soon, and against a process
// that outlasts the period: its margins were those of a long one.
func TestAnswersEndInTheLastSixthOfAnyGracePeriod(t *testing.T) {
	for _, seconds := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(seconds), func(t *testing.T) {
			h := newHarness(t)
			h.vm.SetStopGracePeriod(t, seconds)
			e := sitetest.NewEndpoint(t, "e1", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
			h.register(e, "plain", "")
			h.run()
			answered := make(chan time.Time, 1)
			go func() {
				got := h.send(http.MethodPost, oncePath, "key", func(r *http.Request) { r.Header.Set(sitetest.HeaderDeadline, "9000") })
				if got.status == http.StatusBadGateway {
					answered <- time.Now()
				}
				close(answered)
			}()
			h.eventually(func() bool { return len(e.Requests()) == 1 })
			stopped := time.Now()
			h.stop()
			at := <-answered
			grace := time.Duration(seconds) * time.Second
			require.Greater(t, at.Sub(stopped), grace*5/6)
			ended := <-h.done
			h.done <- ended // The cleanup receives it too.
			require.NoError(t, ended)
			require.Less(t, time.Since(stopped), grace)
		})
	}
}
