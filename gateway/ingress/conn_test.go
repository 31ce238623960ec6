package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/meter"
	"flamingospar.org/gateway/config"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/ingress"
	"flamingospar.org/platform/site/sitetest"
)

// A server closes the connections that are left at the deadline of a stop. A request that is
// read then must not be run, since its caller gets no response.
func TestRequestOnAClosedConnectionIsNotRun(t *testing.T) {
	holder := &config.Holder{}
	holder.UpdateIfNewer(sitetest.Manifest(3, nil, sitetest.Route{Name: "p", Kind: "idempotent", Service: "plain", Public: true}), "test")
	metrics := meter.NewRegistry()
	// The nil relay panics if the request reaches it.
	handler := &ingress.Handler{Config: holder, Meter: metrics, Log: &ingress.RequestLog{}, Crashes: crashes.New(nil)}
	accepted := make(chan net.Conn, 1)
	handled := make(chan struct{})
	closeThenServe := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(handled)
		(<-accepted).Close()
		handler.ServeHTTP(w, r)
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: closeThenServe, ReadHeaderTimeout: time.Second}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		accepted <- conn
		return ingress.ConnContext(ctx, conn)
	}
	server.ConnState = ingress.ConnState
	go func() { _ = server.Serve(ingress.NewListener(listener)) }()
	defer server.Close()

	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	_, err = fmt.Fprintf(conn, "GET /p/x HTTP/1.1\r\nHost: h.example\r\n%s: a1\r\n\r\n", sitetest.HeaderRequestID)
	require.NoError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	require.Error(t, err)
	<-handled
	require.EqualValues(t, 1, metrics.Counter("request", "refused", "connection_closed"))
}
