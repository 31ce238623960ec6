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

// ask returns the status and body of a call, 0 when the connection failed.
func ask(t *testing.T, client *http.Client, method, url, body string) (int, string) {
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

		status, _ := ask(t, client, "PUT", service.URL+"/faults", `{"slow":"3s","poison":"bad"}`)
		require.Equal(t, http.StatusOK, status)
		began := time.Now()
		status, _ = ask(t, client, "POST", service.URL+"/lodgements", "good")
		require.Equal(t, http.StatusOK, status)
		require.GreaterOrEqual(t, time.Since(began), 3*time.Second)
		status, _ = ask(t, client, "POST", service.URL+"/lodgements", "bad")
		require.Zero(t, status, "the poisoned call crashes the service")
		time.Sleep(3 * time.Second)
		status, calls := ask(t, client, "GET", service.URL+"/calls", "")
		require.Equal(t, http.StatusOK, status, "the service is back")
		require.Contains(t, calls, "2", "the crashed call took effect")

		chat := `{"model":"assessment","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
		_, before := ask(t, client, "POST", model.URL+"/v1/chat/completions", chat)
		ask(t, client, "PUT", model.URL+"/faults", `{"crash":true,"down_for":"5s","variant":"other"}`)
		time.Sleep(time.Second)
		status, _ = ask(t, client, "POST", model.URL+"/v1/chat/completions", chat)
		require.Zero(t, status, "the engine is away")
		time.Sleep(5 * time.Second)
		status, after := ask(t, client, "POST", model.URL+"/v1/chat/completions", chat)
		require.Equal(t, http.StatusOK, status)
		require.NotEqual(t, before, after, "another version answers otherwise")
		status, _ = ask(t, client, "PUT", model.URL+"/faults", `{"slowness":"3s"}`)
		require.Equal(t, http.StatusBadRequest, status)
	})
}
