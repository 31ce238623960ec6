package transport_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a request that fails since its endpoint reads nothing for longer than sent
// data may remain unacknowledged: its receive window is full meanwhile.
func TestSilentEndpointReadsALongRequestLate(t *testing.T) {
	cases := []struct {
		silence time.Duration
		size    int
	}{{2600 * time.Millisecond, 256 << 10}, {2600 * time.Millisecond, 4 << 20}, {6 * time.Second, 4 << 20}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s %d", c.silence, c.size), func(t *testing.T) {
			t.Parallel()
			address := serveConns(t, func(conn net.Conn) { answerAfter(conn, c.silence) })
			response, err := sendLong(t, address, c.size)
			require.NoError(t, err)
			defer response.Close()
			body, err := io.ReadAll(response)
			require.NoError(t, err)
			require.Equal(t, "ok", string(body))
		})
	}
}

// A VM that no longer acknowledges anything must be found soon, whether it ends before it
// has received the request or while its receive window is full.
func TestDeadEndpointIsFoundWhileALongRequestIsSent(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "after a silence": 1100 * time.Millisecond, "after a long silence": 3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dead := make(chan time.Time, 1)
			address := serveConns(t, func(conn net.Conn) {
				time.Sleep(after)
				dropAll(t, conn)
				dead <- time.Now()
				<-t.Context().Done()
			})
			_, err := sendLong(t, address, 4<<20)
			require.ErrorIs(t, err, transport.ErrIncomplete)
			found := time.Since(<-dead)
			t.Logf("found after %s", found)
			require.Less(t, found, 5*time.Second)
		})
	}
}

// sendLong sends a request with a long body. It is sent again if the endpoint could not be
// reached: on a busy machine a connection may take longer than is waited for.
func sendLong(t *testing.T, address string, size int) (*transport.Response, error) {
	request := newRequest("r1")
	request.Method = http.MethodPost
	request.Body = make([]byte, size)
	pool := transport.NewPool()
	for range 5 {
		response, err := pool.Send(t.Context(), address, request)
		if !errors.Is(err, transport.ErrNotSent) {
			return response, err
		}
	}
	return pool.Send(t.Context(), address, request)
}

// serveConns starts an endpoint that serves each connection with serve.
func serveConns(t *testing.T, serve func(net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // The test is over.
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}

// answerAfter reads nothing of a request for some time, and then all of it, and answers.
func answerAfter(conn net.Conn, silence time.Duration) {
	time.Sleep(silence)
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	_, _ = io.WriteString(conn, responseHead(request.Header.Get(sitetest.HeaderRequestID), "Content-Length: 2\r\n\r\nok")) // An error shows at the caller.
	time.Sleep(100 * time.Millisecond)
}

// dropAll drops all that arrives on a connection before it is acknowledged.
func dropAll(t *testing.T, conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	}))
	require.NoError(t, err)
}
