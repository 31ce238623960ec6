package streamversions_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against joined streams: an engine had started again under its ID with other software
// and began a stream before this was known, as at a process that is cut off. Its entry was
// removed and then listed anew.
func TestStreamIsInDoubtAlsoIfTheEntryOfItsEngineWasRemovedInBetween(t *testing.T) {
	p := newProcess(t, sitetest.NewStore(t), "a", true)
	recent := true
	p.ListIsRecent = func() bool { return recent }
	called := site.Endpoint{ID: "e", Service: "s", Stage: site.Decode, SoftwareVersion: "v1"}
	p.EndpointChanged(called)
	p.RecordStreamAt("s", "certain", called)
	recent = false // The process is cut off, and the engine starts again.
	p.RecordStreamAt("s", "x", called)
	recent = true
	p.EndpointGone("e")
	again := called
	again.SoftwareVersion = "v2"
	p.EndpointChanged(again)
	require.True(t, p.InDoubt("x"))
	require.Empty(t, p.find("x"))
	require.Equal(t, "v1", p.find("certain"))
}
