package relay

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against a stream that is ended broken: a standby that was under way at another
// version than the stream's became its next attempt.
func TestStandbyOfAnotherVersionIsNotTheNextAttempt(t *testing.T) {
	for version, isNext := range map[string]bool{"v1": true, "v2": false} {
		t.Run(version, func(t *testing.T) {
			s, endpoint := newTestStream(sitetest.NewEndpoint(t, "e-1", sitetest.Events(4, 0)), httptest.NewRecorder())
			newCall := func(version string) *streamCall {
				endpoint.SoftwareVersion = version
				c := s.newCall(t.Context(), engines.Placement{DecodeEndpoint: endpoint}, site.RunHeaders{EndpointID: endpoint.ID})
				t.Cleanup(c.end)
				return c
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.version = "v1"
			w := s.watch(t.Context(), newCall("v1"))
			w.call = newCall(version)
			close(w.call.done)
			require.True(t, w.pair.Begin())
			w.end(attemptResult{sent: true})
			require.Equal(t, isNext, s.next != nil)
		})
	}
}
