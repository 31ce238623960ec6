package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventsAreCutAtTheirEnds(t *testing.T) {
	var e events
	require.Empty(t, e.add([]byte("id: 1\nda")))
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(e.add([]byte("ta: a\n\nid: 2\ndata: b\n\nid: 3"))))
	require.Equal(t, "2", e.lastID)
	require.Equal(t, 2, e.count)
	e.restart()
	require.Equal(t, "id: 3\n\n", string(e.add([]byte("id: 3\n\n"))))
	require.Equal(t, "3", e.lastID)
}
