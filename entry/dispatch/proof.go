package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
)

// errAbandoned stops a request whose sender has said that it was not sent.
var errAbandoned = errors.New("dispatch: the run was abandoned before it was sent")

// States of a proof.
const (
	proofUnsent int32 = iota
	proofSent
	proofAbandoned
)

// proof tells whether a run's bytes may have left this process. Sending and
// abandoning exclude each other, so that "not sent" stays true.
type proof struct{ state atomic.Int32 }

// send reports whether the bytes may leave.
func (p *proof) send() bool {
	return p.state.CompareAndSwap(proofUnsent, proofSent) || p.state.Load() == proofSent
}

// abandon reports whether nothing was sent; if so, nothing will be.
func (p *proof) abandon() bool {
	return p.state.CompareAndSwap(proofUnsent, proofAbandoned) || p.state.Load() == proofAbandoned
}

type proofKey struct{}

func withProof(ctx context.Context, p *proof) context.Context {
	return context.WithValue(ctx, proofKey{}, p)
}

// Client returns a client of agents that keeps the proofs of the runs it sends
// and replaces connections that fell silent. Its connections are like those of
// the transport that open returns.
func Client(open func() *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport{connections: newConnections(open)},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transport guards the body of each run: the transport below reads it only
// after it has a connection.
type transport struct{ connections *connections }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	p, ok := request.Context().Value(proofKey{}).(*proof)
	if !ok {
		return t.connections.send(request, false)
	}
	guarded := request.Clone(request.Context())
	guarded.Body = guardedBody{ReadCloser: request.Body, proof: p}
	guarded.GetBody = nil
	return t.connections.send(guarded, true)
}

// CloseIdleConnections implements what http.Client looks for.
func (t transport) CloseIdleConnections() { t.connections.closeIdle() }

type guardedBody struct {
	io.ReadCloser
	proof *proof
}

// Read implements io.Reader.
func (b guardedBody) Read(buffer []byte) (int, error) {
	if !b.proof.send() {
		return 0, errAbandoned
	}
	return b.ReadCloser.Read(buffer)
}
