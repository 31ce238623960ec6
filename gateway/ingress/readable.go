package ingress

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// readable reports whether the system holds something for a socket: bytes, an end or an
// error of a connection, or a connection of a listener. Unlike a read, it isn't kept from
// that by a deadline that has passed.
func readable(socket any) bool {
	withRaw, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	err = raw.Control(func(fd uintptr) { ready = pollIn(int32(fd)) })
	return err == nil && ready
}

func pollIn(fd int32) bool {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if !errors.Is(err, unix.EINTR) {
			return err == nil && n > 0
		}
	}
}
