package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventBufferReturnsWholeEvents(t *testing.T) {
	var b eventBuffer
	require.Empty(t, b.add([]byte("id: 1\nda")))
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", string(b.add([]byte("ta: a\n\nid: 2\ndata: b\n\nid: 3"))))
	require.Equal(t, "2", b.lastID)
	require.Equal(t, 2, b.count)
	b.discardPartial()
	require.Equal(t, "id: 3\n\n", string(b.add([]byte("id: 3\n\n"))))
	require.Equal(t, "3", b.lastID)
}
