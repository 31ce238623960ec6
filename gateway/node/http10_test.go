package node_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site/sitetest"
)

// Guards against: a caller of HTTP/1.0 took an answer that had broken off for a whole one: only
// the end of the connection ended it, and the connection ended as after a whole answer.
func TestBrokenAnswerIsNotWholeForACallerOfHTTP10(t *testing.T) {
	for name, c := range map[string]struct {
		truncateAfter int
		broken        bool
	}{"whole": {0, false}, "broken off": {3, true}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.register(sitetest.NewEndpoint(t, "e", sitetest.Events(6, c.truncateAfter)), "model", "decode")
			h.run()
			conn, err := net.Dial("tcp", h.vm.CallerAddress)
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: h.example\r\n%s: r1\r\n%s: key\r\n%s: 20,20\r\n%s: aa:10,bb:10\r\n%s: 1500\r\nContent-Length: 4\r\n\r\nbody",
				modelPath, sitetest.HeaderRequestID, sitetest.HeaderAPIKey, sitetest.HeaderTokenCount, sitetest.HeaderPromptPrefix, sitetest.HeaderDeadline)
			require.NoError(t, err)
			answer, err := io.ReadAll(conn)
			if c.broken {
				require.Error(t, err, "%s", answer)
				return
			}
			require.NoError(t, err)
			require.True(t, strings.HasSuffix(string(answer), "data: piece 6\n\n"), "%s", answer)
		})
	}
}
