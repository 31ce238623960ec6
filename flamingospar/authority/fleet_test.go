package authority

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The command ended at its first entry: its settings named no operators.
func TestFleetStarts(t *testing.T) {
	f, err := startFleet(t.Context(), fleetSize{entries: 1, agents: 1})
	require.NoError(t, err)
	f.stop()
}
