package dispatch

import (
	"context"
	"errors"
	"net/http"
	"sync"
)

// connections keeps a transport, and so a connection, for each agent. The one
// of an agent that did not answer in time is set aside at once: new calls open
// another connection, and what is still on the old one may end there.
type connections struct {
	open func() *http.Transport

	mu     sync.Mutex
	byHost map[string]*http.Transport
}

func newConnections(open func() *http.Transport) *connections {
	return &connections{open: open, byHost: make(map[string]*http.Transport)}
}

func (c *connections) of(host string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	transport, ok := c.byHost[host]
	if !ok {
		transport = c.open()
		c.byHost[host] = transport
	}
	return transport
}

// setAside makes later calls to host open a new connection, unless another
// call has already seen to that.
func (c *connections) setAside(host string, silent *http.Transport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byHost[host] == silent {
		delete(c.byHost, host)
	}
	silent.CloseIdleConnections()
}

// send sends request and sets the connection aside when no answer came in time
// or, for a watched stream, when it fell silent.
func (c *connections) send(request *http.Request, watched bool) (*http.Response, error) {
	host := request.URL.Host
	transport := c.of(host)
	if watched {
		context.AfterFunc(request.Context(), func() {
			if errors.Is(context.Cause(request.Context()), errSilent) {
				c.setAside(host, transport)
			}
		})
	}
	response, err := transport.RoundTrip(request)
	if err != nil && errors.Is(request.Context().Err(), context.DeadlineExceeded) {
		c.setAside(host, transport)
	}
	return response, err
}

// closeIdle closes the connections that are not in use.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, transport := range c.byHost {
		transport.CloseIdleConnections()
	}
}
