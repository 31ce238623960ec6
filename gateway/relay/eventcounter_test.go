package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/transport"
)

// The count does not depend on how the stream is split into reads.
func TestEventCounterCountsEventsWithFields(t *testing.T) {
	const text = "id: 1\ndata: a\n\n: comment\n\n\n\nid: 2\r\ndata: b\r\n\r\n: comment\ndata: c\n\ndata: open"
	for size := 1; size <= len(text); size++ {
		var c eventCounter
		events := 0
		for from := 0; from < len(text); from += size {
			n, err := c.add([]byte(text[from:min(from+size, len(text))]))
			require.NoError(t, err)
			events += n
		}
		require.Equal(t, 3, events, "in pieces of %d bytes", size)
	}
}

func TestEventCounterRejectsAnEndlessEvent(t *testing.T) {
	var c eventCounter
	piece := []byte("data: " + strings.Repeat("x", 4096))
	for range maxEventBytes / len(piece) {
		_, err := c.add(piece)
		require.NoError(t, err)
	}
	_, err := c.add(piece)
	require.ErrorIs(t, err, transport.ErrResponseTooLarge)
}
