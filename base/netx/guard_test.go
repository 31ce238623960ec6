package netx_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/netx"
)

var errNotAllowed = errors.New("ended")

// pipeNetwork returns one end of a pipe whose other end reads and discards all data.
type pipeNetwork struct{ netx.Network }

func (pipeNetwork) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		buffer := make([]byte, 16)
		for {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	return near, nil
}

func TestGuardedWritesNothingOnceRefused(t *testing.T) {
	var allowErr error
	network := netx.Guarded(pipeNetwork{}, func() error { return allowErr })
	conn, err := network.DialContext(t.Context(), "tcp", "platform:80")
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("report"))
	require.NoError(t, err)

	allowErr = errNotAllowed
	n, err := conn.Write([]byte("report"))
	require.ErrorIs(t, err, errNotAllowed)
	require.Zero(t, n)
	_, err = network.DialContext(t.Context(), "tcp", "platform:80")
	require.ErrorIs(t, err, errNotAllowed)
}
