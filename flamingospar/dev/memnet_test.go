package dev

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"flamingospar.org/standin/memnet"
)

// memnetDev gives dev a fresh in-memory address for each "any port".
type memnetDev struct{ host *memnet.Host }

var anyPortNumber atomic.Int64

func (m memnetDev) Listen(address string) (net.Listener, error) {
	if address == anyPort {
		address = fmt.Sprintf("dev:%d", 10_000+anyPortNumber.Add(1))
	}
	return m.host.Listen(address)
}

func (m memnetDev) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return m.host.DialContext(ctx, network, address)
}
