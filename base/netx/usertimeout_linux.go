package netx

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// tcpUserTimeout is how long sent data may stay unacknowledged before the
// connection is closed. Keep-alive probes are not sent while data is
// unacknowledged, so without this timeout a connection whose peer stops responding
// during a response would stay open for many minutes.
const tcpUserTimeout = 20 * time.Second

// setUserTimeout sets TCP_USER_TIMEOUT on a socket before it connects or listens.
// Accepted connections inherit the option.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
