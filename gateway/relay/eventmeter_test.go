package relay

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/link"
)

// However the bytes are cut, the same events end.
func TestEventMeterCountsEventsThatSaySomething(t *testing.T) {
	const text = "id: 1\ndata: a\n\n: comment\n\n\n\nid: 2\r\ndata: b\r\n\r\n: comment\ndata: c\n\ndata: open"
	for size := 1; size <= len(text); size++ {
		var m eventMeter
		events := 0
		for from := 0; from < len(text); from += size {
			n, err := m.add([]byte(text[from:min(from+size, len(text))]))
			require.NoError(t, err)
			events += n
		}
		require.Equal(t, 3, events, "in pieces of %d bytes", size)
	}
}

func TestEventMeterEndsAnEventWithoutEnd(t *testing.T) {
	var m eventMeter
	piece := []byte("data: " + strings.Repeat("x", 4096))
	for range maxEvent / len(piece) {
		_, err := m.add(piece)
		require.NoError(t, err)
	}
	_, err := m.add(piece)
	require.ErrorIs(t, err, link.ErrOverlong)
}
