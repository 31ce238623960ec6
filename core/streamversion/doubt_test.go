package streamversion_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
)

// Guards against joined streams: a stream was forgotten, or about to be, when its endpoint was
// found to have started again. Its version was then found as the empty one, with which a stream
// may go on anywhere.
func TestDoubtfulVersionIsNeverFound(t *testing.T) {
	m := streamversion.NewMemory()
	start := time.Unix(1_000_000, 0)
	id := streamversion.IDOf("a")
	m.Add(streamversion.Record{ID: id, Version: "v1", Endpoint: "e"}, start)
	m.Doubt("e", start.Add(streamversion.Retention+time.Second))
	version, ok := m.Find(id)
	require.False(t, ok, "found %q", version)
}

// The same while the memory is full.
func TestDoubtfulVersionIsNeverFoundInAFullMemory(t *testing.T) {
	m := streamversion.NewMemory()
	start := time.Unix(1_000_000, 0)
	for i := range 1 << 15 {
		m.Add(streamversion.Record{ID: streamversion.StreamID(i), Version: "v1", Endpoint: "e"}, start)
	}
	m.Doubt("e", start.Add(time.Second))
	wrong := 0
	for i := range 1 << 15 {
		if version, ok := m.Find(streamversion.StreamID(i)); ok && version == streamversion.Doubtful {
			wrong++
		}
	}
	require.Zero(t, wrong)
}
