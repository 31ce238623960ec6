package node_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against requests without an answer: callers send one request after the other while
// the process stops, on connections that they keep as long as they may.
func TestCallersThatKeepSendingAreAnsweredUntilTheProcessCloses(t *testing.T) {
	const (
		callers  = 60
		maxPause = 20 * time.Millisecond // From a response to the next request.
		maxRun   = 30 * time.Millisecond // Of the endpoint.
		// lastDial is when the load balancer no longer sends connections to the process, from
		// the request to stop.
		lastDial = closingTime - 50*time.Millisecond
	)
	h := newHarness(t)
	h.register(sitetest.NewEndpoint(t, "e1", func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(rand.N(maxRun))
		fmt.Fprint(w, "ok")
	}), "plain", "")
	h.run()
	h.waitUntilServing(oncePath)
	stop := time.Now().Add(maxPause + maxRun)
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			for n := 0; time.Now().Before(stop.Add(lastDial)); n++ {
				h.keepSending(fmt.Sprintf("c%d-%d", i, n), maxPause)
			}
		})
	}
	time.Sleep(time.Until(stop))
	h.stop()
	running.Wait()
}

// keepSending sends requests on one connection until a response says that it is closed.
func (h *harness) keepSending(id string, maxPause time.Duration) {
	c := h.dial()
	defer c.conn.Close()
	for n := 0; ; n++ {
		response, err := c.start(0, piecesOf(n%2, fmt.Sprintf("%s-%d", id, n))...)
		if !assert.NoError(h.t, err, "request %d of a connection got no response", n) {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if !assert.NoError(h.t, err) || response.Close {
			return
		}
		time.Sleep(rand.N(maxPause))
	}
}
