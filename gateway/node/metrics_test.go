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

func (w *world) metrics() string {
	response, err := http.Get("http://" + w.vm.Ready + "/metrics")
	require.NoError(w.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(w.t, err)
	return string(text)
}

// What an engineer on call needs to tell which dependency is at fault.
func TestMetricsTellWhatIsBelievedAndHowOldItIs(t *testing.T) {
	w := start(t)
	e := sitetest.NewEndpoint(t, "e1", sitetest.Events(3, 0))
	w.add(e, "model", string(site.Decode))
	w.run()
	w.known(modelPath)
	w.eventually(func() bool { return strings.Contains(w.metrics(), "store_feed_done") })
	text := w.metrics()
	for _, name := range []string{
		"configuration_version 1", "fleet_age_ms", "store_steady_ms", "processes_listed 1", "lease_held", "lease_epoch",
		"store_commit_done", "store_range_ms", "endpoint_e1_running 0", "endpoint_e1_failures_percent 0",
		"prediction_", "request_stream_answered", "request_stream_first_ms",
	} {
		require.Contains(t, text, "flamingospar_"+name)
	}
	w.store.Remove(site.TableEndpoints, "e1")
	w.eventually(func() bool {
		w.send(http.MethodPost, modelPath, "key", nil)
		return !strings.Contains(w.metrics(), "endpoint_e1_")
	})
}
