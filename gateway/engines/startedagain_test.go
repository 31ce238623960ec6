package engines_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/placement"
)

// Guards against joined streams: a request that had waited after its engine was chosen was
// sent to the engine that had started again under its ID with other software.
func TestEndpointThatStartedAgainSinceItWasChosenIsNotSentTheRequest(t *testing.T) {
	s, _ := newSelector()
	placed := s.Place("model", placement.Request{Prompt: placement.Prompt{}})
	chosen := placed.DecodeEndpoint
	require.NotEmpty(t, chosen.ID)
	require.True(t, s.Take(chosen))
	again := chosen
	again.StartedMS, again.SoftwareVersion = 2, "v2"
	s.EndpointChanged(again)
	require.False(t, s.Take(chosen))
	require.True(t, s.Take(again))
}
