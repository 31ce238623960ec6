package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errAbandoned fails the request of a run that has been reported as not sent.
var errAbandoned = errors.New("dispatch: run abandoned before it was sent")

// States of a sendGuard.
const (
	stateUnsent int32 = iota
	stateSent
	stateAbandoned
)

// sendGuard records whether any bytes of a run may have left this process.
// Sending and abandoning are mutually exclusive, so a run reported as not sent
// is never sent later.
type sendGuard struct{ state atomic.Int32 }

// allowSend marks the run as sent and reports whether its bytes may be sent,
// which is false once the run is abandoned.
func (g *sendGuard) allowSend() bool {
	return g.state.CompareAndSwap(stateUnsent, stateSent) || g.state.Load() == stateSent
}

// abandon reports whether nothing was sent. If so, it prevents sending from then
// on.
func (g *sendGuard) abandon() bool {
	return g.state.CompareAndSwap(stateUnsent, stateAbandoned) || g.state.Load() == stateAbandoned
}

type sendGuardKey struct{}

func withSendGuard(ctx context.Context, guard *sendGuard) context.Context {
	return context.WithValue(ctx, sendGuardKey{}, guard)
}

// Client returns an HTTP client for agents. It maintains the sendGuard of each
// run and replaces the connection of an agent that stops responding. It creates
// its transports with newTransport.
func Client(newTransport func() *http.Transport) *http.Client {
	return &http.Client{
		Transport:     agentTransport{transportPool: newTransportPool(newTransport)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// agentTransport wraps the body of each run in a guardedBody. The underlying
// transport reads the body only once it has a connection, so a body that was
// never read was never sent.
type agentTransport struct{ transportPool *transportPool }

// RoundTrip sends request on the agent's transport and guards the body if the
// request belongs to a run.
func (t agentTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	guard, ok := request.Context().Value(sendGuardKey{}).(*sendGuard)
	if !ok {
		return t.transportPool.send(request, false)
	}
	guarded := request.Clone(request.Context())
	guarded.Body = guardedBody{ReadCloser: request.Body, sendGuard: guard}
	guarded.GetBody = nil
	return t.transportPool.send(guarded, true)
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (t agentTransport) CloseIdleConnections() { t.transportPool.closeIdle() }

// guardedBody refuses reads after its guard has been abandoned.
type guardedBody struct {
	io.ReadCloser
	sendGuard *sendGuard
}

// Read marks the run as sent before it returns any of its bytes.
func (b guardedBody) Read(buffer []byte) (int, error) {
	if !b.sendGuard.allowSend() {
		return 0, errAbandoned
	}
	return b.ReadCloser.Read(buffer)
}
