package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
)

// transportPool keeps one transport, and so one connection, per agent. The
// transport of an agent that did not respond in time is discarded at once: new
// calls open another connection, while calls in flight may complete on the old
// one.
type transportPool struct {
	newTransport func() *http.Transport

	mu     sync.Mutex
	byHost map[string]*http.Transport
}

func newTransportPool(newTransport func() *http.Transport) *transportPool {
	return &transportPool{newTransport: newTransport, byHost: make(map[string]*http.Transport)}
}

func (p *transportPool) get(host string) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	transport, ok := p.byHost[host]
	if !ok {
		transport = p.newTransport()
		p.byHost[host] = transport
	}
	return transport
}

// discard makes later calls to host open a new connection, unless another call
// has already replaced transport.
func (p *transportPool) discard(host string, transport *http.Transport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byHost[host] == transport {
		delete(p.byHost, host)
	}
	transport.CloseIdleConnections()
}

// send sends request. It discards the transport if no response came before the
// deadline or, for a run, if the stream was ended by the heartbeat timeout.
func (p *transportPool) send(request *http.Request, isRun bool) (*http.Response, error) {
	host := request.URL.Host
	transport := p.get(host)
	if isRun {
		context.AfterFunc(request.Context(), func() {
			if errors.Is(context.Cause(request.Context()), errHeartbeatTimeout) {
				p.discard(host, transport)
			}
		})
	}
	response, err := transport.RoundTrip(request)
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		p.discard(host, transport)
	}
	return response, err
}

// closeIdle closes the idle connections of all transports.
func (p *transportPool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, transport := range p.byHost {
		transport.CloseIdleConnections()
	}
}
