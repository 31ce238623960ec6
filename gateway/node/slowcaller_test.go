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

// Pattern: a caller reads a byte now and then of an answer that is larger than
// all buffers. Its endpoint is let go a bounded time after the caller's own
// deadline.
func TestCallerThatHardlyReadsHoldsNoEndpoint(t *testing.T) {
	w := start(t)
	ended := make(chan struct{})
	e := sitetest.NewEndpoint(t, "e1", func(rw http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		piece := strings.Repeat("x", 64<<10)
		for range 1000 {
			if _, err := fmt.Fprint(rw, piece); err != nil {
				return
			}
		}
	})
	w.add(e, "plain", "")
	w.run()
	w.eventually(func() bool { return w.send(http.MethodPost, "/nowhere", "key", nil).status == http.StatusNotFound })
	conn, err := net.Dial("tcp", w.vm.Callers)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4<<10))
	fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\n%s: 500\r\n\r\n",
		sitetest.HeaderRequestID, sitetest.HeaderKey, sitetest.HeaderPatience)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			_, _ = conn.Read(make([]byte, 1)) // Its end shows at the endpoint.
		}
	}()
	select {
	case <-ended:
	case <-time.After(6 * time.Second):
		t.Fatal("the endpoint still works for a caller that hardly reads")
	}
	require.Eventually(t, func() bool {
		_, err := conn.Write([]byte("x"))
		return err != nil
	}, 6*time.Second, 50*time.Millisecond, "the caller's connection is ended too")
}
