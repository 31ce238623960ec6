package fleet

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/netx"
	"flamingospar.org/standin/memnet"
)

// doRequest returns the status and body of the response, or 0 if the connection
// failed.
func doRequest(t *testing.T, client *http.Client, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(data)
}

// TestEndpointFaultsOverHTTP checks that faults set over HTTP take effect at a
// service and at an engine, and that a crashed endpoint comes back after its
// downtime.
func TestEndpointFaultsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		client := netx.HTTP1Client(network.Host("client"))
		service, err := startEndpoint(ctx, network.Host("service"), Endpoint{ID: "lodge-1", Kind: "lodgements"}, "service:80")
		require.NoError(t, err)
		model, err := startEndpoint(ctx, network.Host("engine"), Endpoint{ID: "assess-1", Kind: "model", Model: "assessment"}, "engine:80")
		require.NoError(t, err)
		t.Cleanup(func() {
			cancel()
			client.CloseIdleConnections()
			time.Sleep(time.Minute)
		})

		status, _ := doRequest(t, client, "PUT", service.URL+"/faults", `{"slow":"3s","poison":"bad"}`)
		require.Equal(t, http.StatusOK, status)
		start := time.Now()
		status, _ = doRequest(t, client, "POST", service.URL+"/lodgements", "good")
		require.Equal(t, http.StatusOK, status)
		require.GreaterOrEqual(t, time.Since(start), 3*time.Second)
		status, _ = doRequest(t, client, "POST", service.URL+"/lodgements", "bad")
		require.Zero(t, status, "a call that contains the poison crashes the service")
		time.Sleep(3 * time.Second)
		status, calls := doRequest(t, client, "GET", service.URL+"/calls", "")
		require.Equal(t, http.StatusOK, status, "the service runs again")
		require.Contains(t, calls, "2", "the call that crashed the service took effect")

		chat := `{"model":"assessment","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
		_, before := doRequest(t, client, "POST", model.URL+"/v1/chat/completions", chat)
		doRequest(t, client, "PUT", model.URL+"/faults", `{"crash":true,"down_for":"5s","variant":"other"}`)
		time.Sleep(time.Second)
		status, _ = doRequest(t, client, "POST", model.URL+"/v1/chat/completions", chat)
		require.Zero(t, status, "the engine is down")
		time.Sleep(5 * time.Second)
		status, after := doRequest(t, client, "POST", model.URL+"/v1/chat/completions", chat)
		require.Equal(t, http.StatusOK, status)
		require.NotEqual(t, before, after, "another variant produces another output")
		status, _ = doRequest(t, client, "PUT", model.URL+"/faults", `{"slowness":"3s"}`)
		require.Equal(t, http.StatusBadRequest, status)
	})
}
