package engines_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
)

type registered struct{ versions []string }

func (r *registered) Registered(string) ([]string, bool) { return r.versions, true }

// A stream that begins at a version which is not registered could be joined with another one
// later: its engines are passed over, also as a last choice, until the version is registered.
func TestEnginesOfAnUnregisteredVersionArePassedOver(t *testing.T) {
	versions := &registered{versions: []string{"v1"}}
	s := engines.New("a", time.Now)
	s.Versions = versions
	for id, version := range map[string]string{"old": "v1", "new": "v2"} {
		s.EndpointChanged(site.Endpoint{ID: id, Service: "m", DataCentre: "a", Slots: 4, Stage: site.Decode, SoftwareVersion: version})
	}
	request := placement.Request{Budget: time.Second, MaxWait: time.Second, Deadline: time.Second}
	placed := s.Place("m", request)
	require.Equal(t, "old", placed.DecodeEndpoint.ID)
	require.Equal(t, 1, placed.PassedOver.Unregistered)

	request.Exclude = map[string]bool{"old": true}
	require.Equal(t, placement.NoEngine, s.Place("m", request).Verdict)
	_, ok := s.ChooseDecode("m", request)
	require.False(t, ok)

	versions.versions = []string{"v1", "v2"}
	require.Equal(t, "new", s.Place("m", request).DecodeEndpoint.ID)
}
