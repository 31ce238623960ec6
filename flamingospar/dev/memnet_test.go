package dev

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"flamingospar.org/standin/memnet"
)

// devNetwork is an in-memory network that assigns an unused port to each listener
// on anyPort.
type devNetwork struct{ host *memnet.Host }

var portsAssigned atomic.Int64

func (m devNetwork) Listen(address string) (net.Listener, error) {
	if address == anyPort {
		address = fmt.Sprintf("dev:%d", 10_000+portsAssigned.Add(1))
	}
	return m.host.Listen(address)
}

func (m devNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return m.host.DialContext(ctx, network, address)
}
