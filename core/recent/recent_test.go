package recent_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/recent"
)

// A set that forgot keys which are still added, or grew without bound, would forget what endpoints
// answer all the time, or use up the memory of its process.
func TestSetKeepsTheLastKeys(t *testing.T) {
	const limit = 100
	set := recent.New[int](limit)
	require.True(t, set.Add(-1))
	require.False(t, set.Add(-1))
	for key := range 10 * limit {
		require.True(t, set.Add(key))
		set.Add(-1)
	}
	kept := 0
	for key := range 10 * limit {
		if set.Has(key) {
			kept++
		}
	}
	require.True(t, set.Has(-1))
	require.True(t, set.Has(10*limit-1))
	require.LessOrEqual(t, kept, limit)
	require.GreaterOrEqual(t, kept, limit/2-1)
}
