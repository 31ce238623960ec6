package crashes_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/crashes"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// A request that was running at two crashes is refused, also by a process that
// only heard of it; one whose connection broke at a sound endpoint is not.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	marks := crashes.New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go marks.Run(ctx)
	sound, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer sound.Close()

	for range 3 {
		marks.Note(crashes.Broken{Team: "t", Path: "/p", Body: []byte("sound"), Address: sound.Addr().String()})
	}
	// A process that is cut off reaches nobody; its requests crashed nothing
	// (incident inc-b685 of lshrt-recall).
	for range 2 {
		marks.Note(crashes.Broken{Team: "t", Path: "/p", Body: []byte("cut off"), Address: "not an address"})
	}
	for range 2 {
		marks.Note(crashes.Broken{Team: "t", Path: "/p", Body: []byte("poison"), Address: freeAddress(t)})
	}
	require.Eventually(t, func() bool { return marks.Refused("t", "/p", []byte("poison")) }, 10*time.Second, 20*time.Millisecond)
	require.False(t, marks.Refused("t", "/p", []byte("sound")))
	require.False(t, marks.Refused("t", "/p", []byte("cut off")))
	require.False(t, marks.Refused("other", "/p", []byte("poison")))

	other := crashes.New()
	other.Merge(marks.Told())
	require.True(t, other.Refused("t", "/p", []byte("poison")))
}
