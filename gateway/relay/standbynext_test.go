package relay

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// versionsInDoubt knows whether the versions of all streams are in doubt.
type versionsInDoubt struct {
	StreamVersions
	inDoubt bool
}

func (v versionsInDoubt) InDoubt(string) bool { return v.inDoubt }

// Guards against a stream that is ended broken: a standby that was under way at another
// version than the stream's, or at one that was found to be wrong, became its next attempt.
func TestStandbyOfAnotherVersionIsNotTheNextAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		version         string
		inDoubt, isNext bool
	}{"same version": {"v1", false, true}, "other version": {"v2", false, false}, "version in doubt": {"v1", true, false}} {
		t.Run(name, func(t *testing.T) {
			s, endpoint := newTestStream(sitetest.NewEndpoint(t, "e-1", sitetest.Events(4, 0)), httptest.NewRecorder())
			newCall := func(version string) *streamCall {
				endpoint.SoftwareVersion = version
				c := s.newCall(t.Context(), engines.Placement{DecodeEndpoint: endpoint}, site.RunHeaders{EndpointID: endpoint.ID})
				t.Cleanup(c.end)
				return c
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.version, s.relay.Versions = "v1", versionsInDoubt{inDoubt: c.inDoubt}
			w := s.watch(t.Context(), newCall("v1"))
			w.call = newCall(c.version)
			close(w.call.done)
			require.True(t, w.pair.Begin())
			w.end(attemptResult{sent: true})
			require.Equal(t, c.isNext, s.next != nil)
		})
	}
}
