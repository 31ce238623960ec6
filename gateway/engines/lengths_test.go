package engines_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Single estimates of callers are wrong but right on average, and the number of tokens
// in an event is not known: the ratio is derived from observed responses.
func TestExpectedEventsFollowObservedResponses(t *testing.T) {
	s, _ := newSelector()
	require.InDelta(t, 20, s.ExpectedEvents("model", 200), 0.01, "nothing observed yet")
	for range 300 {
		s.ObserveResponse("model", 100, 30)
		s.ObserveResponse("model", 300, 50)
		s.ObserveResponse("model", 0, 500) // The caller gave no estimate.
	}
	require.InDelta(t, 40, s.ExpectedEvents("model", 200), 2)
	require.Zero(t, s.ExpectedEvents("model", 0))
	require.InDelta(t, 20, s.ExpectedEvents("another", 200), 0.01)
}
