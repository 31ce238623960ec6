package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/gateway/config"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/platform/site/sitetest"
)

// A panic while one request is handled must close its connection without a
// response and be counted. The next request must be served.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	holder := &config.Holder{}
	holder.UpdateIfNewer(sitetest.Manifest(1, nil, sitetest.Route{Name: "plain", Kind: "idempotent", Service: "plain", Public: true}), "test")
	registry := meter.NewRegistry()
	handler := &Handler{ // Each admitted request panics, since the relay is nil.
		Config: holder, Meter: registry, Crashes: crashes.New(nil),
		Log: &RequestLog{Endpoints: func() EndpointsState { return EndpointsState{} }},
	}
	server := httptest.NewServer(handler)
	defer server.Close()
	send := func(path string) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodGet, server.URL+path, nil)
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header.Set(sitetest.HeaderRequestID, "r1")
		return http.DefaultClient.Do(request)
	}
	_, err := send("/plain/x")
	require.ErrorIs(t, err, io.EOF)
	require.EqualValues(t, 1, registry.Counter("panic", "request"))
	response, err := send("/nowhere")
	require.NoError(t, err)
	defer response.Body.Close()
	require.Equal(t, http.StatusNotFound, response.StatusCode)
}
