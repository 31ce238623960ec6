package streamversion_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/core/streamversion"
)

// Guards against a sound stream that is not continued when its engine fails: its caller had used
// the ID of its request before, at another version.
func TestStreamOfAnIDThatWasUsedBeforeIsNotInDoubt(t *testing.T) {
	m := streamversion.NewMemory()
	now, id := time.Unix(1_000_000, 0), streamversion.IDOf("a")
	m.Add(streamversion.Record{ID: id, Version: "v1", Endpoint: "e"}, now)
	m.Add(streamversion.Record{ID: id, Version: "v2", Endpoint: "f"}, now.Add(time.Second))
	require.False(t, m.InDoubt(id))
	require.True(t, m.Ambiguous(id), "a take-up may mean either")
	m.Doubt("f", now.Add(2*time.Second))
	require.True(t, m.InDoubt(id))
}
