package relay_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site/sitetest"
	"flamingospar.org/standin/memnet"
)

// networkLatency is the one-way delay of a simulated network.
const networkLatency = time.Millisecond

// simulatedNetwork is a network in simulated time, so that no lack of processor time makes
// endpoints or the relay late.
type simulatedNetwork struct{ *memnet.Network }

func newSimulatedNetwork() simulatedNetwork { return simulatedNetwork{memnet.New(networkLatency)} }

// newRelay is newRelay for a relay of the network.
func (n simulatedNetwork) newRelay(endpoints ...*sitetest.Endpoint) *relay.Relay {
	r := newRelay(endpoints...)
	r.Pool.Dial = n.Host("relay").DialContext
	return r
}

// listen returns a listener of a host of the network.
func (n simulatedNetwork) listen(t *testing.T, host string) net.Listener {
	listener, err := n.Host(host).Listen(host + ":80")
	require.NoError(t, err)
	return listener
}

// newEndpoint starts an endpoint on a host of its own.
func (n simulatedNetwork) newEndpoint(t *testing.T, id string, serve func(http.ResponseWriter, *http.Request)) *sitetest.Endpoint {
	return sitetest.NewEndpointOn(t, n.listen(t, id), id, serve)
}

// newUnframed starts an endpoint whose responses are not framed on a host of its own.
func (n simulatedNetwork) newUnframed(t *testing.T, id, body string, reset bool) *sitetest.UnframedEndpoint {
	var resetConns func(net.Conn)
	if reset {
		resetConns = func(net.Conn) { n.Kill(id) }
	}
	return sitetest.NewUnframedEndpointOn(t, n.listen(t, id), body, resetConns)
}
