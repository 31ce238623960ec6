package node_test

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// runTime is how long a faulty endpoint runs a request before it answers.
const runTime = 30 * time.Millisecond

// runCounter counts the runs of requests by ID.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[id]++
}

func (c *runCounter) of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// newRefusingTwice starts an endpoint that refuses the first of two requests of each
// connection, and writes the refusal once more, with another ID if there is one, when it
// begins to run the second.
func newRefusingTwice(t *testing.T, id string, runs *runCounter, staleID func(previous string) string) *sitetest.ConnEndpoint {
	var mu sync.Mutex
	previous := make(map[net.Conn]string)
	return sitetest.NewConnEndpoint(t, id, func(conn net.Conn, request *http.Request, n int) bool {
		requestID := request.Header.Get(sitetest.HeaderRequestID)
		mu.Lock()
		before := previous[conn]
		previous[conn] = requestID
		mu.Unlock()
		if n%2 == 0 {
			_, _ = io.WriteString(conn, sitetest.RefusalText("503 Service Unavailable", requestID)) // The client sees a truncated response.
			return true
		}
		runs.add(requestID)
		_, _ = io.WriteString(conn, sitetest.RefusalText("503 Service Unavailable", staleID(before))) // Likewise.
		time.Sleep(runTime)
		_, _ = io.WriteString(conn, sitetest.Answer("200 OK", requestID, "id: 1\ndata: own\n\n")) // Likewise.
		return true
	})
}

var staleIDs = map[string]func(previous string) string{
	"none":   func(string) string { return "" },
	"before": func(previous string) string { return previous },
	"other":  func(string) string { return "another" },
}

// Guards against: a refusal that an endpoint wrote once more was taken for the answer to a
// request that it was running. The caller was told that the request had not run, or it ran
// at a second endpoint.
func TestRefusalWrittenOnceMoreIsNoProof(t *testing.T) {
	for name, staleID := range staleIDs {
		t.Run(name, func(t *testing.T) {
			h := newAlone(t, "vm-"+name)
			var runs runCounter
			h.register(newRefusingTwice(t, "a-plain", &runs, staleID).Endpoint(), "plain", "")
			h.register(newRefusingTwice(t, "a-model", &runs, staleID).Endpoint(), "model", "decode")
			sound := func(w http.ResponseWriter, r *http.Request) {
				runs.add(r.Header.Get(sitetest.HeaderRequestID))
				sitetest.BeginStream(w)
				_, _ = io.WriteString(w, "id: 1\ndata: own\n\n") // The client sees a truncated response.
			}
			h.register(sitetest.NewEndpoint(t, "b-plain", sound), "plain", "")
			h.register(sitetest.NewEndpoint(t, "b-model", sound), "model", "decode")
			h.run()
			for _, path := range []string{oncePath, plainPath, modelPath, streamPath} {
				for range 12 {
					var id string
					got := h.send(http.MethodPost, path, "key", func(r *http.Request) { id = r.Header.Get(sitetest.HeaderRequestID) })
					require.NoError(t, got.err)
					if path == oncePath || path == modelPath {
						require.LessOrEqual(t, runs.of(id), 1, "%s ran twice", path)
					}
					if got.status == http.StatusServiceUnavailable && (path == oncePath || path == modelPath) {
						require.Zero(t, runs.of(id), "%s: told that it had not run", path)
					}
					if got.status == http.StatusOK {
						require.Equal(t, "id: 1\ndata: own\n\n", got.body)
					}
				}
			}
		})
	}
}

// Guards against: the same, where no other endpoint is left to try.
func TestRefusalWrittenOnceMoreByTheOnlyEndpoint(t *testing.T) {
	for name, staleID := range staleIDs {
		t.Run(name, func(t *testing.T) {
			h := newAlone(t, "vm-"+name)
			var runs runCounter
			h.register(newRefusingTwice(t, "a-plain", &runs, staleID).Endpoint(), "plain", "")
			h.run()
			ran := 0
			for range 12 {
				var id string
				got := h.send(http.MethodPost, oncePath, "key", func(r *http.Request) { id = r.Header.Get(sitetest.HeaderRequestID) })
				require.NoError(t, got.err)
				ran += runs.of(id)
				if got.status == http.StatusServiceUnavailable {
					require.Zero(t, runs.of(id), "told that it had not run")
				}
			}
			require.Positive(t, ran, "the endpoint never wrote a refusal once more")
		})
	}
}
