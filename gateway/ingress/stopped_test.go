package ingress_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/ingress"
)

const postRequest = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"

// Guards against a stop that takes all of its grace period: a few bytes that never became a
// request kept their connection open.
func TestConnectionOnWhichNoRequestFollowsIsClosedSoonAfterAStop(t *testing.T) {
	// The server waits 5 s for the first request of a connection, as in http.Server.Shutdown.
	const bound, boundOfFirst = 3 * time.Second, 8 * time.Second
	for name, c := range map[string]struct {
		before, after string
		bound         time.Duration
	}{
		"idle": {postRequest, "", bound}, "empty line after a request": {postRequest, "\r\n", bound}, "half a header after a request": {postRequest, "GET / HT", bound},
		"one byte": {"", "G", boundOfFirst}, "half a header": {"", "GET / HT", boundOfFirst},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			tracked := ingress.NewListener(listener)
			server := &http.Server{Handler: http.HandlerFunc(answerOK), IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute, ConnState: ingress.ConnState, ConnContext: ingress.ConnContext}
			go func() { _ = server.Serve(tracked) }() // It ends with the test.
			defer server.Close()
			conn, err := net.Dial("tcp", listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			if c.before != "" {
				_, err = io.WriteString(conn, c.before)
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				require.NoError(t, err)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
			}
			_, err = io.WriteString(conn, c.after)
			require.NoError(t, err)
			time.Sleep(200 * time.Millisecond) // It is read.
			tracked.Drain(time.Now().Add(time.Minute))
			require.Eventually(t, tracked.Drained, c.bound, 20*time.Millisecond)
		})
	}
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // An error shows at the caller.
	_, _ = io.WriteString(w, "ok")
}
