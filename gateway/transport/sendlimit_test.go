package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Guards against a VM whose end is found late: the timeout of unacknowledged data is extended
// while a window is full, and must be restored once all was acknowledged.
func TestLimitIsSetAgainAfterALongRequest(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := NewPool().dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	peer, err := listener.Accept()
	require.NoError(t, err)
	defer peer.Close()

	w := watchSending(conn)
	require.Equal(t, tcpUserTimeout, userTimeout(t, w))
	go func() {
		_, _ = conn.Write(make([]byte, 4<<20)) // An error shows in the limit, which is then not set again.
		w.setWritten()
	}()
	require.Eventually(t, func() bool { return userTimeout(t, w) > tcpUserTimeout }, 10*time.Second, 10*time.Millisecond)
	go func() { _, _ = io.Copy(io.Discard, peer) }() // It ends with the connection.
	require.Eventually(t, func() bool { return userTimeout(t, w) == tcpUserTimeout }, 10*time.Second, 10*time.Millisecond)
}

// The same for a connection that is given back before the watch has seen that all was
// acknowledged.
func TestLimitIsSetAgainAtTheEndOfTheWatch(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := NewPool().dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	w := watchSending(conn)
	w.mu.Lock()
	w.extended = w.setUserTimeout(2*tcpUserTimeout) == nil
	w.mu.Unlock()
	w.end()
	require.Equal(t, tcpUserTimeout, userTimeout(t, w))
}

// userTimeout returns the TCP user timeout that is set on a watched connection.
func userTimeout(t *testing.T, w *sendWatch) time.Duration {
	var ms int
	var err error
	require.NoError(t, w.raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	return time.Duration(ms) * time.Millisecond
}
