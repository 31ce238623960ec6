package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The idle connections that all processes keep to an endpoint stay within what it accepts.
func TestProcessesShareTheConnectionsOfAnEndpoint(t *testing.T) {
	for _, processes := range []int{1, 4, 27, 68, 391} {
		for _, accepted := range []int{100, 300, 520} {
			share := idleConnsShare(accepted, processes)
			require.Positive(t, share)
			if processes <= accepted {
				require.LessOrEqual(t, share*processes, accepted)
			}
		}
	}
	require.Zero(t, idleConnsShare(0, 4), "the configuration states none")
}
