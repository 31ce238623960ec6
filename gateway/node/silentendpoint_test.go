package node_test

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// silence is for how long the endpoints of these tests are silent. It is longer than the
// stall timeout of the configured routes, 1.08 s for streams and 0.36 s for others.
const silence = 1300 * time.Millisecond

// patientCaller sets a deadline beyond the silence of an endpoint.
func patientCaller(r *http.Request) { r.Header.Set(sitetest.HeaderDeadline, "6000") }

// withoutRetries takes the allowance of retries out of the settings.
func (h *harness) withoutRetries() {
	settings, err := os.ReadFile(h.vm.SettingsPath)
	require.NoError(h.t, err)
	changed := strings.Replace(string(settings), "retry_slack = 54", "retry_slack = 0", 1)
	changed = strings.Replace(changed, "retry_ratio = 0.2", "retry_ratio = 0.0", 1)
	require.NotEqual(h.t, string(settings), changed)
	require.NoError(h.t, os.WriteFile(h.vm.SettingsPath, []byte(changed), 0o600))
}

// silentOnce responds like next, after a silence; a stream is silent after its first event.
func silentOnce(w http.ResponseWriter, r *http.Request) {
	stream := strings.HasPrefix(r.URL.Path, "/stream/")
	if stream {
		sitetest.BeginStream(w)
		fmt.Fprint(w, "id: 1\ndata: piece 1\n\n")
		_ = http.NewResponseController(w).Flush() // An error shows in what the caller receives.
	}
	select {
	case <-time.After(silence):
	case <-r.Context().Done():
		return
	}
	if stream {
		fmt.Fprint(w, "id: 2\ndata: piece 2\n\n")
		return
	}
	fmt.Fprint(w, "ok")
}

// Guards against requests that were given up while their endpoint was only silent: beside
// a change of the configuration, with no retry allowed, callers got a part of a stream or
// a 502.
func TestRequestsAtSilentEndpointsAreAnsweredBesideAChangeOfTheConfiguration(t *testing.T) {
	want := map[string]string{plainPath: "ok", streamPath: "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"}
	h := newHarness(t)
	h.withoutRetries()
	for _, id := range []string{"m1", "m2"} {
		h.register(sitetest.NewEndpoint(t, id, silentOnce), "model", "decode")
	}
	for _, id := range []string{"p1", "p2"} {
		h.register(sitetest.NewEndpoint(t, id, silentOnce), "plain", "")
	}
	h.run()
	results := map[string]chan result{}
	for path := range want {
		received := make(chan result, 1)
		results[path] = received
		go func() { received <- h.send(http.MethodPost, path, "key", patientCaller) }()
	}
	time.Sleep(silence / 2)
	h.store.PutRaw(site.TableOperator, site.KeyConfiguration, manifest(2, "key"))
	for path, body := range want {
		got := <-results[path]
		require.NoError(t, got.err, path)
		require.Equal(t, http.StatusOK, got.status, path)
		require.Equal(t, body, got.body, path)
	}
}
