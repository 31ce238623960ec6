package transport_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// maxCancelTime is the time within which an endpoint must see that its call was cancelled.
const maxCancelTime = 400 * time.Millisecond

// Guards against an endpoint that works on after its call was cancelled: the connection was
// closed only when somebody closed the response.
func TestCancelledCallIsClosedAtOnce(t *testing.T) {
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		site.SetRequestID(w.Header(), "id-1")
		_ = http.NewResponseController(w).Flush() // An error shows in the test.
		<-r.Context().Done()
		close(ended)
	}))
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	header := http.Header{}
	site.SetRequestID(header, "id-1")
	request := transport.Request{ID: "id-1", Method: http.MethodGet, Target: "/a", Host: "h", Header: header}
	response, err := transport.NewPool().Send(ctx, server.Listener.Addr().String(), request)
	require.NoError(t, err)
	defer response.Close()
	cancel()
	select {
	case <-ended:
	case <-time.After(maxCancelTime):
		require.Fail(t, "the endpoint still works")
	}
}
