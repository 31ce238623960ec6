package streamversions_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
	"flamingospar.org/gateway/engines"
	"flamingospar.org/platform/site"
	"flamingospar.org/platform/site/sitetest"
)

// Guards against streams that begin at a version that is not registered, which nobody may
// infer: while an engine is removed, its version was forgotten here before the engine was
// forgotten by the selector, and counted as registered in between.
func TestVersionOfAnEngineThatIsBeingRemovedStaysUnregistered(t *testing.T) {
	store := sitetest.NewStore(t)
	p := startProcess(t, store, "a", true)
	listAt(p, "old", "s", "v1")
	store.SetDown(true)
	p.EndpointChanged(site.Endpoint{ID: "new", Service: "s", Stage: site.Decode, SoftwareVersion: "v2"})
	require.Equal(t, []string{"v2"}, p.Unregistered("s"))
	selector := engines.New("dc", time.Now)
	selector.Versions = p.Tracker
	e := site.Endpoint{ID: "new", Service: "s", DataCentre: "dc", Slots: 8, StartedMS: 1, Stage: site.Decode, SoftwareVersion: "v2"}
	selector.EndpointChanged(e)
	request := placement.Request{Prompt: placement.Prompt{Tokens: 10}, Budget: time.Second, MaxWait: time.Second}
	require.Nil(t, selector.Place("s", request).Decode)
	p.EndpointGone("new") // The tracker hears of it first.
	require.Nil(t, selector.Place("s", request).Decode, "a stream may begin at v2")
}
