package streamversion_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
)

// Guards against joined streams: of a stream that was remembered no more, or just being
// forgotten, when its endpoint was found to have started again, the version was "known" as
// the empty one, at which a stream may go on anywhere.
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
