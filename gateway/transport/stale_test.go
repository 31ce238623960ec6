package transport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site/sitetest"
)

// gap is a time in which what was written before is read.
const gap = 3 * time.Millisecond

// write writes texts with a gap between them.
func write(conn net.Conn, texts ...string) {
	for i, text := range texts {
		if i > 0 {
			time.Sleep(gap)
		}
		_, _ = io.WriteString(conn, text) // The client sees a truncated response.
	}
}

// staleAnswers are answers that an endpoint has written before and writes once more.
var staleAnswers = map[string]func(id string) string{
	"503 not run":      func(id string) string { return sitetest.RefusalText("503 Service Unavailable", id) },
	"429 not run":      func(id string) string { return sitetest.RefusalText("429 Too Many Requests", id) },
	"421":              func(id string) string { return sitetest.RefusalText("421 Misdirected Request", id) },
	"400 not run":      func(id string) string { return sitetest.RefusalText("400 Bad Request", id) },
	"503 without word": func(id string) string { return sitetest.Answer("503 Service Unavailable", id, "stale") },
	"500":              func(id string) string { return sitetest.Answer("500 Internal Server Error", id, "stale") },
	"200":              func(id string) string { return sitetest.Answer("200 OK", id, "stale") },
}

// staleMoments are the moments at which an endpoint writes a stale answer: with the answer
// to the first request, while the connection is idle, or around the answer to the second.
var staleMoments = map[string]struct {
	first, second func(conn net.Conn, answer, stale string)
}{
	"with the first answer": {
		func(conn net.Conn, answer, stale string) { write(conn, answer+stale) },
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
	},
	"while idle": {
		func(conn net.Conn, answer, stale string) { write(conn, answer, stale) },
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
	},
	"before the second answer": {
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
		func(conn net.Conn, answer, stale string) { write(conn, stale, answer) },
	},
	"with the second answer": {
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
		func(conn net.Conn, answer, stale string) { write(conn, stale+answer) },
	},
	"twice before the second answer": {
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
		func(conn net.Conn, answer, stale string) { write(conn, stale+stale, answer) },
	},
	"half while idle": {
		func(conn net.Conn, answer, stale string) { write(conn, answer, stale[:40]) },
		func(conn net.Conn, answer, stale string) { write(conn, stale[40:], answer) },
	},
	"in two halves before the second answer": {
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
		func(conn net.Conn, answer, stale string) { write(conn, stale[:40], stale[40:], answer) },
	},
	"half of it before the second answer": {
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
		func(conn net.Conn, answer, stale string) { write(conn, stale[:40]+answer) },
	},
	"alone": {
		func(conn net.Conn, answer, _ string) { write(conn, answer) },
		func(conn net.Conn, _, stale string) { write(conn, stale) },
	},
}

// sendSecond sends a request that the endpoint refuses, and after a pause the one with
// secondID.
func sendSecond(t *testing.T, address, secondID string, pause time.Duration) (status int, notRun bool, body string, err error) {
	pool := transport.NewPool()
	response, err := pool.Send(t.Context(), address, newRequest("first"))
	require.NoError(t, err)
	require.True(t, response.Meta.NotRun)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	time.Sleep(pause)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	response, err = pool.Send(ctx, address, newRequest(secondID))
	if err != nil {
		return 0, false, "", err
	}
	defer response.Close()
	data, err := io.ReadAll(response)
	return response.Status, response.Meta.NotRun, string(data), err
}

// Guards against: a refusal that an endpoint wrote once more on a kept connection was taken
// for the answer to a request that it ran: its caller was told that it had not run, or it
// ran at a second endpoint. Other answers that are written once more must not be taken for
// it either.
func TestStaleAnswerIsNotThatOfALaterRequest(t *testing.T) {
	refusal := func(id string) string { return sitetest.RefusalText("503 Service Unavailable", id) }
	for staleName, stale := range staleAnswers {
		for momentName, moment := range staleMoments {
			for idName, ids := range map[string]struct{ second, stale string }{
				"of the request before": {"second", "first"},
				"of the same request":   {"first", "first"},
				"of none":               {"second", ""},
				"of another request":    {"second", "another"},
			} {
				t.Run(staleName+" "+idName+" "+momentName, func(t *testing.T) {
					t.Parallel()
					var runs, sent atomic.Int64
					endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, n int) bool {
						id := request.Header.Get(sitetest.HeaderRequestID)
						if sent.Add(1) == 1 {
							moment.first(conn, refusal(id), stale(ids.stale))
							return true
						}
						runs.Add(1)
						answer := sitetest.Answer("200 OK", id, "own")
						if n == 0 { // On a new connection it is sound.
							write(conn, answer)
							return true
						}
						moment.second(conn, answer, stale(ids.stale))
						return true
					})
					status, notRun, body, err := sendSecond(t, endpoint.Address, ids.second, 3*gap)
					if err != nil {
						require.ErrorIs(t, err, transport.ErrIncomplete)
						require.False(t, errors.Is(err, transport.ErrNotSent))
						return
					}
					require.EqualValues(t, 1, runs.Load())
					require.False(t, notRun)
					require.Equal(t, http.StatusOK, status)
					require.Equal(t, "own", body)
				})
			}
		}
	}
}

// Guards against: a part of a refusal joined the answer to the next request to one answer
// that bore its ID and said that it had not run.
func TestPartOfARefusalDoesNotJoinTheNextAnswer(t *testing.T) {
	fields := []string{"X-Not-Run: 1\r\n", "X-Request-Id: first\r\n", "Server: engine\r\n", "Content-Length: 4\r\n"}
	for _, start := range []string{"HTTP/1.1 503 Service Unavailable\r\n", "HTTP/1.1 421 Misdirected Request\r\n", "HTTP/1.1 103 Early Hints\r\n"} {
		for rotation := range fields {
			stale := start
			for i := range fields {
				stale += fields[(rotation+i)%len(fields)]
			}
			stale += "\r\nfull"
			for end := 1; end < len(stale); end++ {
				endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, n int) bool {
					id := request.Header.Get(sitetest.HeaderRequestID)
					if n == 0 {
						write(conn, sitetest.RefusalText("503 Service Unavailable", id))
						return true
					}
					write(conn, stale[:end]+sitetest.Answer("200 OK", id, "own"))
					return false
				})
				_, notRun, body, err := sendSecond(t, endpoint.Address, "second", 0)
				require.False(t, notRun, "%q", stale[:end])
				if err == nil {
					require.Equal(t, "own", body, "%q", stale[:end])
				}
			}
		}
	}
}

// An endpoint that refuses often must not cost a new connection for each refusal.
func TestRefusalsKeepTheirConnection(t *testing.T) {
	const requests = 200
	endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, _ int) bool {
		write(conn, sitetest.RefusalText("503 Service Unavailable", request.Header.Get(sitetest.HeaderRequestID)))
		return true
	})
	pool := transport.NewPool()
	for i := range requests {
		response, err := pool.Send(t.Context(), endpoint.Address, newRequest(fmt.Sprint(i)))
		require.NoError(t, err)
		require.True(t, response.Meta.NotRun)
		_, err = io.ReadAll(response)
		require.NoError(t, err)
		response.Close()
	}
	require.EqualValues(t, 1, endpoint.Conns.Load())
}

// Guards against: IDs that a connection had carried long ago were forgotten, and a stale
// answer to one of them was taken for that to a request with the same ID.
func TestConnectionRemembersAllItsRequests(t *testing.T) {
	const requests = 3000
	endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, _ int) bool {
		write(conn, sitetest.Answer("200 OK", request.Header.Get(sitetest.HeaderRequestID), "own"))
		return true
	})
	pool := transport.NewPool()
	for i := range requests {
		_, err := send(t.Context(), pool, endpoint.Address, fmt.Sprint(i))
		require.NoError(t, err)
		before := endpoint.Conns.Load()
		if i%500 == 0 {
			_, err := send(t.Context(), pool, endpoint.Address, "0")
			require.NoError(t, err)
			if i == 0 {
				require.Equal(t, before+1, endpoint.Conns.Load(), "the same ID on the same connection")
			}
		}
	}
	require.Less(t, endpoint.Conns.Load(), int64(requests/100))
}

// An answer without an ID is that of the request if nothing else can have been asked.
func TestAnswerWithoutAnIDIsTakenOnANewConnectionOnly(t *testing.T) {
	endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, _ *http.Request, _ int) bool {
		write(conn, sitetest.RefusalText("421 Misdirected Request", ""))
		return true
	})
	pool := transport.NewPool()
	response, err := pool.Send(t.Context(), endpoint.Address, newRequest("first"))
	require.NoError(t, err)
	require.True(t, response.Meta.NotRun)
	_, err = io.ReadAll(response)
	require.NoError(t, err)
	response.Close()
	_, err = pool.Send(t.Context(), endpoint.Address, newRequest("second"))
	require.ErrorIs(t, err, transport.ErrIncomplete)
}
