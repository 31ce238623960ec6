//go:build !linux

package netx

import "syscall"

// setUserTimeout does nothing, since TCP_USER_TIMEOUT is specific to Linux.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
