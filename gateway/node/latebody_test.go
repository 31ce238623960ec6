package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against requests without an answer: the body took so much longer than the time limit
// that the response could not be written any more.
func TestRequestWhoseBodyOutlastsItsTimeLimitIsRefused(t *testing.T) {
	const bodyTime = 4500 * time.Millisecond
	for name, c := range map[string]struct {
		path       string
		deadlineMS int // Of the caller.
		change     sitetest.Change
	}{
		"deadline of the caller":       {path: oncePath, deadlineMS: 300},
		"deadline of a stream":         {path: streamPath, deadlineMS: 300},
		"time limit that is shortened": {path: oncePath, deadlineMS: 20_000, change: sitetest.RouteTimeout(700)},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
			h.register(sitetest.NewEndpoint(t, "m1", nil), "model", "decode")
			h.run()
			h.waitUntilServing(oncePath)
			key := "key"
			if c.change != nil {
				key = "next"
				h.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Changed(t, manifest(2, key), c.change))
				h.eventually(func() bool { return h.send(http.MethodGet, oncePath, "key", nil).status == http.StatusUnauthorized })
			}
			header := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 8\r\n%s: r1\r\n%s: %s\r\n%s: %d\r\n\r\n",
				c.path, sitetest.HeaderRequestID, sitetest.HeaderAPIKey, key, sitetest.HeaderDeadline, c.deadlineMS)
			status, body, err := h.dial().send(bodyTime, header, "the body")
			require.NoError(t, err, "a whole request got no response")
			require.Equal(t, http.StatusServiceUnavailable, status, body)
		})
	}
}
