package node_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

func (h *harness) metrics() string {
	response, err := http.Get("http://" + h.vm.ReadyAddress + "/metrics")
	require.NoError(h.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(h.t, err)
	return string(text)
}

// The metrics must show an engineer on call which dependency is at fault.
func TestMetricsShowStateAndItsAge(t *testing.T) {
	h := newHarness(t)
	e := sitetest.NewEndpoint(t, "e1", sitetest.Events(3, 0))
	h.register(e, "model", string(site.Decode))
	h.run()
	h.waitUntilServing(modelPath)
	h.eventually(func() bool { return strings.Contains(h.metrics(), "store_feed_done") })
	text := h.metrics()
	for _, name := range []string{
		"configuration_version 1", "fleet_age_ms", "store_steady_ms", "processes_listed 1", "lease_held", "lease_epoch",
		"store_commit_done", "store_range_ms", "endpoint_e1_running 0", "endpoint_e1_failures_percent 0",
		"prediction_", "request_stream_answered", "request_stream_first_ms",
	} {
		require.Contains(t, text, "flamingospar_"+name)
	}
	h.store.Delete(site.TableEndpoints, "e1")
	h.eventually(func() bool {
		h.send(http.MethodPost, modelPath, "key", nil)
		return !strings.Contains(h.metrics(), "endpoint_e1_")
	})
}
