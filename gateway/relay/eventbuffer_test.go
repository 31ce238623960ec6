package relay

import (
	"bytes"
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

// Guards against a large event that costs processor time by the square of its size: what had
// arrived of it was copied at each read.
func TestLargeEventIsNotCopiedAtEachRead(t *testing.T) {
	const reads = maxEventBytes/streamBufferBytes - 1
	read := bytes.Repeat([]byte("x"), streamBufferBytes)
	copies := testing.AllocsPerRun(10, func() {
		var buffer eventBuffer
		buffer.add([]byte("data: "))
		for range reads {
			buffer.add(read)
		}
		buffer.add([]byte("\n\n"))
	})
	require.Less(t, copies, reads/2.0) // The buffer grows by a share of its size each time.
}
