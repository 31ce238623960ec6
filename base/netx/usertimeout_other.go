//go:build !linux

package netx

import "syscall"

// limitUnacked does nothing where the operating system has no such limit.
func limitUnacked(_, _ string, _ syscall.RawConn) error { return nil }
