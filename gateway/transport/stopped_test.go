package transport_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site/sitetest"
)

// wholeBody is the body of each of wholeAnswers.
const wholeBody = "twelve bytes"

// wholeAnswers are whole answers without those parts of their body that only the end of the
// connection ends.
var wholeAnswers = map[string]func(id string) string{
	"length":      func(id string) string { return responseHead(id, "Content-Length: 12\r\n\r\n"+wholeBody) },
	"length last": func(id string) string { return responseHead(id, "Server: e\r\nContent-Length: 12\r\n\r\n"+wholeBody) },
	"bare line feeds": func(id string) string {
		return strings.ReplaceAll(responseHead(id, "Content-Length: 12\r\n\r\n"+wholeBody), "\r\n", "\n")
	},
	"odd spaces": func(id string) string {
		return responseHead(id, "Server: a\r\n  b\r\nContent-Length:  12 \t\r\nDate: \r\n\r\n"+wholeBody)
	},
	"chunks": func(id string) string { return responseHead(id, "Transfer-Encoding: chunked\r\n\r\n"+chunks+"\r\n") },
	"chunks and trailer": func(id string) string {
		return responseHead(id, "Transfer-Encoding: chunked\r\n\r\n"+chunks+"T: 1\r\n\r\n")
	},
	"after an interim answer": func(id string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + responseHead(id, "Content-Length: 12\r\n\r\n"+wholeBody)
	},
}

// chunks is wholeBody in chunks, without the end of the trailer.
const chunks = "7\r\ntwelve \r\n5;x=1\r\nbytes\r\n0\r\n"

// newPatientPool returns a pool that waits for a connection as long as it takes: on a busy VM
// none may come in the time that is given otherwise.
func newPatientPool() *transport.Pool {
	pool := transport.NewPool()
	pool.Dial = new(net.Dialer).DialContext
	return pool
}

// sendings are ways to send text.
var sendings = map[string]func(conn net.Conn, text string){
	"at once": func(conn net.Conn, text string) { write(conn, text) },
	"byte by byte": func(conn net.Conn, text string) {
		for i := range len(text) {
			write(conn, text[i:i+1])
		}
	},
	"in two parts": func(conn net.Conn, text string) { write(conn, text[:len(text)/2], text[len(text)/2:]) },
}

// Guards against: an engine stopped within its answer and closed the connection, and callers
// got an empty or short answer as a whole one.
func TestAnswerThatStopsAtAnyByteIsIncomplete(t *testing.T) {
	for framing, whole := range wholeAnswers {
		for sending, sendText := range sendings {
			for earlier := range 2 { // Number of whole answers on the connection before it.
				t.Run(framing+", "+sending+[]string{"", ", after another"}[earlier], func(t *testing.T) {
					t.Parallel()
					var end atomic.Int64
					endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, n int) bool {
						text := whole(request.Header.Get(sitetest.HeaderRequestID))
						if n < earlier {
							write(conn, text)
							return true
						}
						sendText(conn, text[:end.Load()])
						return false
					})
					length := len(whole("own"))
					for i := range length + 1 {
						end.Store(int64(i))
						pool := newPatientPool()
						if earlier > 0 {
							body, err := send(t.Context(), pool, endpoint.Address, "one")
							require.NoError(t, err)
							require.Equal(t, wholeBody, body)
						}
						body, err := send(t.Context(), pool, endpoint.Address, "own")
						require.EqualValues(t, i+1, endpoint.Conns.Load())
						if i == length {
							require.NoError(t, err)
							require.Equal(t, wholeBody, body)
							continue
						}
						require.ErrorIs(t, err, transport.ErrIncomplete, "%q", whole("own")[:i])
						require.NotErrorIs(t, err, transport.ErrNotSent)
					}
				})
			}
		}
	}
}

// The head of an answer whose body ends with the connection must be whole as well.
func TestHeadWithoutALengthThatStopsIsIncomplete(t *testing.T) {
	head := responseHead("own", "Server: e\r\n\r\n")
	for i := range len(head) {
		endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, _ *http.Request, _ int) bool {
			write(conn, head[:i])
			return false
		})
		_, err := send(t.Context(), newPatientPool(), endpoint.Address, "own")
		require.ErrorIs(t, err, transport.ErrIncomplete, "%q", head[:i])
	}
}

// Guards against: the rest of an answer whose call had ended came once the next request had
// been sent, and was taken for the answer to it.
func TestRestOfAnAnswerWhoseCallHasEndedReachesNobody(t *testing.T) {
	whole := wholeAnswers["length"]("first")
	for i := 1; i < len(whole); i += 7 {
		stopped, next := make(chan struct{}), make(chan struct{})
		endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, _ int) bool {
			if id := request.Header.Get(sitetest.HeaderRequestID); id != "first" {
				close(next)
				time.Sleep(gap)
				write(conn, sitetest.Answer("200 OK", id, "own"))
				return false
			}
			write(conn, whole[:i])
			close(stopped)
			<-next
			write(conn, whole[i:])
			return true
		})
		pool := newPatientPool()
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-stopped
			time.Sleep(gap)
			cancel()
		}()
		_, err := send(ctx, pool, endpoint.Address, "first")
		require.ErrorIs(t, err, transport.ErrIncomplete)
		body, err := send(t.Context(), pool, endpoint.Address, "second")
		require.NoError(t, err)
		require.Equal(t, "own", body)
		require.EqualValues(t, 2, endpoint.Conns.Load())
	}
}

// What follows an answer on its connection belongs to no answer.
func TestBodyLongerThanItsLengthIsCutOff(t *testing.T) {
	for name, later := range map[string]bool{"with the answer": false, "before the next answer": true} {
		t.Run(name, func(t *testing.T) {
			endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, request *http.Request, n int) bool {
				id, surplus := request.Header.Get(sitetest.HeaderRequestID), "surplus"
				answer := responseHead(id, "Content-Length: 3\r\n\r\nown")
				switch {
				case !later:
					write(conn, answer+surplus)
				case n > 0:
					write(conn, surplus+answer)
				default:
					write(conn, answer)
				}
				return true
			})
			pool := newPatientPool()
			for _, id := range []string{"one", "two"} {
				body, err := send(t.Context(), pool, endpoint.Address, id)
				if later && id == "two" {
					require.ErrorIs(t, err, transport.ErrIncomplete)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "own", body)
			}
		})
	}
}

// A connection that is reset within an answer is no end of it, also where nothing else ends it.
func TestAnswerThatIsResetIsIncomplete(t *testing.T) {
	for name, text := range map[string]string{"head": "HTTP/1.1 200 OK\r\nContent-Le", "body without a length": responseHead("own", "\r\ntwelve ")} {
		t.Run(name, func(t *testing.T) {
			endpoint := sitetest.NewConnEndpoint(t, "e", func(conn net.Conn, _ *http.Request, _ int) bool {
				write(conn, text, "")
				_ = conn.(*net.TCPConn).SetLinger(0) // Resets the connection when it is closed.
				return false
			})
			response, err := newPatientPool().Send(t.Context(), endpoint.Address, newRequest("own"))
			if err == nil {
				defer response.Close()
				_, err = io.ReadAll(response)
			}
			require.ErrorIs(t, err, transport.ErrIncomplete)
		})
	}
}
