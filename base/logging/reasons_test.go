package logging

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against: a line each second for a row that is odd in the same way each second.
func TestReasonIsNewOnlyWhenItChanges(t *testing.T) {
	var r Reasons
	require.True(t, r.Changed("row", "empty"))
	require.False(t, r.Changed("row", "empty"))
	require.True(t, r.Changed("row", "too long"))
	require.True(t, r.Changed("other", "too long"))
	require.Equal(t, 2, r.Len())
	r.Keep(func(key string) bool { return key == "row" })
	require.False(t, r.Known("other"))
	r.Forget("row")
	require.True(t, r.Changed("row", "too long"))
}
