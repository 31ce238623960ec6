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

// Client returns a copy of client that keeps the proofs of the runs it sends.
func Client(client *http.Client) *http.Client {
	tracked := *client
	tracked.Transport = transport{base: client.Transport}
	return &tracked
}

// transport guards the body of each run: the transport below reads it only
// after it has a connection.
type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	p, ok := request.Context().Value(proofKey{}).(*proof)
	if !ok {
		return t.base.RoundTrip(request)
	}
	guarded := request.Clone(request.Context())
	guarded.Body = guardedBody{ReadCloser: request.Body, proof: p}
	guarded.GetBody = nil
	return t.base.RoundTrip(guarded)
}

// CloseIdleConnections implements what http.Client looks for.
func (t transport) CloseIdleConnections() {
	if closer, ok := t.base.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}

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
