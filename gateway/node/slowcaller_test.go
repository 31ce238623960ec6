package node_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// A caller reads single bytes of a response that is larger than all buffers. The
// request to its endpoint must end a bounded time after the caller's deadline.
func TestSlowReaderDoesNotHoldAnEndpoint(t *testing.T) {
	h := newHarness(t)
	ended := make(chan struct{})
	e := sitetest.NewEndpoint(t, "e1", func(rw http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		chunk := strings.Repeat("x", 64<<10)
		for range 1000 {
			if _, err := fmt.Fprint(rw, chunk); err != nil {
				return
			}
		}
	})
	h.register(e, "plain", "")
	h.run()
	h.eventually(func() bool { return h.send(http.MethodPost, "/nowhere", "key", nil).status == http.StatusNotFound })
	conn, err := net.Dial("tcp", h.vm.CallerAddress)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\n%s: 500\r\n\r\n",
		sitetest.HeaderRequestID, sitetest.HeaderAPIKey, sitetest.HeaderDeadline)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			_, _ = conn.Read(make([]byte, 1)) // An error shows at the endpoint instead.
		}
	}()
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		t.Fatal("the endpoint still serves a caller that hardly reads")
	}
	require.Eventually(t, func() bool {
		_, err := conn.Write([]byte("x"))
		return err != nil
	}, 6*time.Second, 50*time.Millisecond, "the caller's connection must be closed too")
}
