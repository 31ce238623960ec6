package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against requests without an answer: one was refused before its body had arrived, and
// its connection was reset while the caller still sent it.
func TestRequestThatIsRefusedForItsHeaderMayBeSentWhole(t *testing.T) {
	const (
		pieces    = 20
		pieceSize = 100 << 10
		pause     = 100 * time.Millisecond
	)
	for name, c := range map[string]struct {
		path, key string
		change    sitetest.Change
		status    int
	}{
		"route removed": {oncePath, "key", sitetest.RoutesRemoved(), http.StatusNotFound},
		"key removed":   {oncePath, "key", sitetest.NoKeys(), http.StatusUnauthorized},
		"body limit":    {oncePath, "key", sitetest.SmallLimits(), http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register(sitetest.NewEndpoint(t, "e1", nil), "plain", "")
			h.run()
			h.waitUntilServing(oncePath)
			h.store.PutRaw(site.TableOperator, site.KeyConfiguration, sitetest.Changed(t, manifest(2, "key"), c.change))
			h.eventually(func() bool { return h.send(http.MethodPost, c.path, c.key, nil).status == c.status })
			request := []string{fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n%s: r1\r\n%s: %s\r\n%s: 9000\r\n\r\n",
				c.path, pieces*pieceSize, sitetest.HeaderRequestID, sitetest.HeaderAPIKey, c.key, sitetest.HeaderDeadline)}
			for range pieces {
				request = append(request, strings.Repeat("x", pieceSize))
			}
			status, _, err := h.dial().send(pause, request...)
			require.NoError(t, err, "a whole request got no response")
			require.Equal(t, c.status, status)
		})
	}
}
