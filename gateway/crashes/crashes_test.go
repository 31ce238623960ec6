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

// A request that was running at two crashes is refused, also by a process that only
// received the marks. A request whose connection broke at a healthy endpoint is not.
func TestRequestThatCrashesEndpointsIsRefused(t *testing.T) {
	tracker := crashes.New()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go tracker.Run(ctx)
	healthy, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer healthy.Close()

	for range 3 {
		tracker.RecordBrokenRun(crashes.BrokenRun{Team: "t", Path: "/p", Body: []byte("healthy"), Address: healthy.Addr().String()})
	}
	// A process that is disconnected from the network reaches no endpoint. Its requests
	// have crashed none and must not be marked.
	for range 2 {
		tracker.RecordBrokenRun(crashes.BrokenRun{Team: "t", Path: "/p", Body: []byte("unreachable"), Address: "not an address"})
	}
	for range 2 {
		tracker.RecordBrokenRun(crashes.BrokenRun{Team: "t", Path: "/p", Body: []byte("poison"), Address: freeAddress(t)})
	}
	require.Eventually(t, func() bool { return tracker.Refused("t", "/p", []byte("poison")) }, 10*time.Second, 20*time.Millisecond)
	require.False(t, tracker.Refused("t", "/p", []byte("healthy")))
	require.False(t, tracker.Refused("t", "/p", []byte("unreachable")))
	require.False(t, tracker.Refused("other", "/p", []byte("poison")))

	peer := crashes.New()
	peer.Merge(tracker.MarksForPeer())
	require.True(t, peer.Refused("t", "/p", []byte("poison")))
}
