package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// The limit of unacknowledged data is put off while a window is full, and set again when
// all was acknowledged, or a VM that ends later would be found late.
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
	limit := func() time.Duration {
		var ms int
		require.NoError(t, w.raw.Control(func(fd uintptr) {
			ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		}))
		require.NoError(t, err)
		return time.Duration(ms) * time.Millisecond
	}
	require.Equal(t, tcpUserTimeout, limit())
	go func() {
		_, _ = conn.Write(make([]byte, 4<<20)) // An error shows in the limit, which is then not set again.
		w.setWritten()
	}()
	require.Eventually(t, func() bool { return limit() > tcpUserTimeout }, 10*time.Second, 10*time.Millisecond)
	go func() { _, _ = io.Copy(io.Discard, peer) }() // It ends with the connection.
	require.Eventually(t, func() bool { return limit() == tcpUserTimeout }, 10*time.Second, 10*time.Millisecond)
}

// A connection is given back before the watch has seen that all was acknowledged.
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
	var ms int
	require.NoError(t, w.raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	require.NoError(t, err)
	require.EqualValues(t, tcpUserTimeout.Milliseconds(), ms)
}
