package transport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site/sitetest"
)

// asking is a request whose question records what it was told.
func asking(id string, told *[]int64, refusal error) transport.Request {
	return transport.Request{ID: id, Method: http.MethodPost, Target: "/x", Host: "h.example", Header: http.Header{sitetest.HeaderRequestID: {id}, sitetest.HeaderExpectedEndpoint: {"e"}}, Start: &transport.StartQuestion{
		Endpoint: "e", Check: func(startedMS int64) error {
			*told = append(*told, startedMS)
			return refusal
		},
	}}
}

func sendAll(t *testing.T, pool *transport.Pool, address string, request transport.Request) *transport.Response {
	t.Helper()
	response, err := pool.Send(t.Context(), address, request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response)
	require.NoError(t, err)
	response.Close()
	return response
}

// A connection doesn't outlive a start, so one question on each says which start answers there. It
// isn't repeated, and a connection to an endpoint that started again is not taken for the former.
func TestEachConnectionIsAskedOnceForTheStartOfItsEndpoint(t *testing.T) {
	e := sitetest.NewEndpoint(t, "e", nil)
	pool := transport.NewPool()
	asked, opened := 0, 0
	pool.OnAsked, pool.OnDial = func() { asked++ }, func() { opened++ }
	var told []int64
	for i := range 3 {
		response := sendAll(t, pool, e.Address, asking(fmt.Sprint(i), &told, nil))
		require.EqualValues(t, 1, response.StartedMS)
	}
	e.StartAgain(7)
	require.Eventually(t, func() bool {
		response, err := pool.Send(t.Context(), e.Address, asking("again", &told, nil))
		if err != nil {
			return false // The connection that ended was found to have.
		}
		response.Close()
		return response.StartedMS == 7
	}, time.Second, time.Millisecond)
	require.Equal(t, []int64{1, 1, 1}, told[:3])
	require.Equal(t, opened, asked)

	_, err := pool.Send(t.Context(), e.Address, asking("refused", &told, transport.ErrNotSent))
	require.ErrorIs(t, err, transport.ErrNotSent)
	for _, received := range e.Requests() {
		require.NotEqual(t, "refused", received.Header.Get(sitetest.HeaderRequestID))
	}
}

// A request without a question may have used a connection first: what comes on it later may be a
// copy of that answer, so another connection is asked.
func TestConnectionThatCarriedARequestIsNotAsked(t *testing.T) {
	e := sitetest.NewEndpoint(t, "e", nil)
	pool := transport.NewPool()
	var told []int64
	first := asking("first", &told, nil)
	first.Start = nil
	require.Zero(t, sendAll(t, pool, e.Address, first).StartedMS)
	require.EqualValues(t, 1, sendAll(t, pool, e.Address, asking("second", &told, nil)).StartedMS)
}

// Guards against a request that hangs, fails or fills the memory for a report that is odd, missing,
// late or without end: the start is not known then, and the request is sent all the same if it may.
func TestOddReportsLeaveTheStartUnknown(t *testing.T) {
	ok := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for name, report := range map[string]string{
		"no start": ok(`{"stage":"decode"}`), "not a number": ok(`{"born":"1"}`), "part of a number": ok(`{"born":1.5}`), "negative": ok(`{"born":-1}`), "no object": ok("[]"),
		"no JSON": ok("born"), "not found": "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", "no answer in the protocol": strings.Repeat("x", 100), "silence": "",
		"no length": "HTTP/1.1 200 OK\r\n\r\n{}", "closes": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}",
		"more than one": ok("{}") + ok("{}"), "without end": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			opened := 0
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() }) // The test is over.
			go serveReports(listener, report, name == "without end")
			pool := transport.NewPool()
			pool.OnDial = func() { opened++ }
			var told []int64
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			response, err := pool.Send(ctx, listener.Addr().String(), asking("r", &told, nil))
			require.NoError(t, err)
			body, err := io.ReadAll(response)
			require.NoError(t, err)
			response.Close()
			require.Equal(t, "own", string(body))
			require.Equal(t, []int64{0}, told)
			require.LessOrEqual(t, opened, 2)
			_, err = pool.Send(ctx, listener.Addr().String(), asking("next", &told, transport.ErrNotSent))
			require.True(t, errors.Is(err, transport.ErrNotSent))
			require.Zero(t, told[1])
		})
	}
}

// serveReports answers requests for reports with a text, endless chunks after it if endless is set,
// and other requests with their own answers.
func serveReports(listener net.Listener, report string, endless bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			buffer := make([]byte, 4096)
			for {
				n, err := conn.Read(buffer)
				if err != nil {
					return
				}
				if !strings.HasPrefix(string(buffer[:n]), "GET /report") {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+sitetest.HeaderRequestID+": r\r\nContent-Length: 3\r\n\r\nown") // The client sees a truncated answer.
					continue
				}
				_, err = io.WriteString(conn, report)
				for endless && err == nil {
					_, err = io.WriteString(conn, "400\r\n"+strings.Repeat("x", 1024)+"\r\n")
				}
			}
		}()
	}
}

// Guards against an endpoint that is taken for one that does not answer since the caller of a request
// left while it was asked.
func TestEndpointIsAskedAgainAfterACallerHasLeft(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() }) // The test is over.
	go serveReports(listener, "", false)
	pool := transport.NewPool()
	asked, unanswered := 0, 0
	pool.OnAsked, pool.OnUnanswered = func() { asked++ }, func() { unanswered++ }
	var told []int64
	for i := range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		_, err = pool.Send(ctx, listener.Addr().String(), asking(fmt.Sprint(i), &told, nil))
		cancel()
		require.ErrorIs(t, err, transport.ErrNotSent)
	}
	require.Equal(t, 2, asked)
	require.Zero(t, unanswered)
	require.Empty(t, told)
}

// Guards against a connection whose start is known that is left idle, since its endpoint did not
// answer on another one.
func TestConnectionWhoseStartIsKnownIsUsedFirst(t *testing.T) {
	e := sitetest.NewEndpoint(t, "e", nil)
	pool := transport.NewPool()
	var told []int64
	known, err := pool.Send(t.Context(), e.Address, asking("known", &told, nil))
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, known)
	require.NoError(t, err)
	plain := asking("plain", &told, nil)
	plain.Start = nil
	unknown, err := pool.Send(t.Context(), e.Address, plain)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, unknown)
	require.NoError(t, err)
	known.Close()
	unknown.Close() // It was used last.
	require.EqualValues(t, 1, sendAll(t, pool, e.Address, asking("next", &told, nil)).StartedMS)
	require.Len(t, told, 2)
}
