package netx

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedLimit is how long sent bytes may stay unacknowledged. Keep-alive
// probes are not sent while bytes are on their way, so that without it a
// connection that went silent in mid-answer would last for many minutes.
const unackedLimit = 20 * time.Second

// limitUnacked sets the limit on a socket before it connects or listens;
// accepted connections inherit it.
func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
