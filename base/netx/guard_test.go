package netx_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/base/netx"
)

var errEnded = errors.New("ended")

// pipeNetwork dials one side of a pipe whose other side takes all bytes.
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
	var refusal error
	network := netx.Guarded(pipeNetwork{}, func() error { return refusal })
	conn, err := network.DialContext(t.Context(), "tcp", "platform:80")
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("report"))
	require.NoError(t, err)

	refusal = errEnded
	n, err := conn.Write([]byte("report"))
	require.ErrorIs(t, err, errEnded)
	require.Zero(t, n)
	_, err = network.DialContext(t.Context(), "tcp", "platform:80")
	require.ErrorIs(t, err, errEnded)
}
