package streamversions_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: an engine that had started again under its ID with other
// software sent the first event of a stream after its new entry had been read. The stream
// counted as one of the version before.
func TestStreamThatBeginsAfterItsEngineIsListedWithOtherSoftwareIsInDoubt(t *testing.T) {
	p := newProcess(t, sitetest.NewStore(t), "a", true)
	called := site.Endpoint{ID: "e", Service: "s", Stage: site.Decode, SoftwareVersion: "v1"}
	p.EndpointChanged(called)
	p.RecordStreamAt("s", "before", called)
	listed := called
	listed.SoftwareVersion = "v2"
	p.EndpointChanged(listed)
	p.RecordStreamAt("s", "after", called)
	for _, id := range []string{"before", "after"} {
		require.True(t, p.InDoubt(id), id)
		require.Empty(t, p.find(id), id)
	}
}
