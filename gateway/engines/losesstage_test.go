package engines_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
	"flamingospar.org/platform/site"
)

// Guards against: an entry of an engine that lacks its stage left the engine in use as it was
// known before, even if the entry says that it drains, and at the new address.
func TestEntryOfAnEngineThatLacksItsStageLeavesNoEngineInUse(t *testing.T) {
	s, _ := newSelector()
	for _, id := range []string{"decode-1", "decode-2"} {
		s.EndpointChanged(site.Endpoint{ID: id, Service: "model", Address: "10.9.9.9:1", DataCentre: "dc-1", Slots: 10, StartedMS: 1, Draining: true})
	}
	placed := s.Place("model", placement.Request{Prompt: placement.Prompt{}})
	require.Equal(t, "", placed.DecodeEndpoint.ID, "at %s", placed.DecodeEndpoint.Address)
	list := s.StageEngines("model")
	for _, engine := range list {
		require.NotContains(t, []string{"decode-1", "decode-2"}, engine.ID, "an order may be sent to it")
	}
}
