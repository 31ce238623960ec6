// Package transport is an HTTP/1.1 client for endpoints. It pools connections and
// sends one request at a time on each. It distinguishes requests that cannot have
// reached the endpoint from those that may have, and matches responses to requests
// by id, since an endpoint may send a response twice or late.
package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"flamingospar.org/platform/site"
)

// Limits of connections to endpoints.
const (
	dialTimeout = 600 * time.Millisecond
	// tcpUserTimeout is how long sent data may remain unacknowledged; see sendWatch.
	tcpUserTimeout    = 2 * time.Second
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
	// defaultMaxIdle is how long an idle connection may be reused if the endpoint
	// states no keep-alive timeout.
	defaultMaxIdle = 4 * time.Second
	// idleMargin is how long before the endpoint's keep-alive timeout a connection
	// is no longer reused.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one address.
	maxIdlePerEndpoint = 48
	// maxInlineWriteBytes is the largest request that is written before its response
	// is read. An endpoint may respond to a larger one before it has read all of it.
	maxInlineWriteBytes = 4 << 10
	// maxStrayResponses bounds the responses to other requests that are discarded.
	maxStrayResponses = 3
	// maxStrayBodyBytes bounds the body of such a response.
	maxStrayBodyBytes = 1 << 20
	// maxInterimResponses bounds the interim (1xx) responses before a final one.
	maxInterimResponses = 8
	readBufferBytes     = 4 << 10
)

// Errors of a request. After ErrNotSent the endpoint cannot have started the
// request; after ErrIncomplete it may have.
var (
	ErrNotSent    = errors.New("the request did not reach the endpoint; remedy: try another endpoint")
	ErrIncomplete = errors.New("the connection ended before the whole answer; remedy: repeat only what may be repeated")
)

// Request is a request to an endpoint.
type Request struct {
	ID     string // Request id of the caller.
	Method string
	Target string // Path and query, as the caller sent them.
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds the idle time of a reused connection, in addition to the
	// connection's own limit. 0 means no such bound.
	MaxIdle time.Duration
	// MaxIdleConns bounds the idle connections that are kept to the endpoint, in addition
	// to the limit of the pool. 0 means no such bound.
	MaxIdleConns int
	// MaySend, if set, is called once there is a connection, right before the request is
	// written: opening a connection takes time. Its error, which wraps ErrNotSent, ends the
	// call.
	MaySend func() error
	// Start, if set, is asked on each new connection.
	Start *StartQuestion
	// OnAnswer, if set, is called with the header of each answer that the endpoint gives on
	// the connection, also one to another request.
	OnAnswer func(site.EndpointResponse)
}

func (r Request) observe(answer site.EndpointResponse) {
	if r.OnAnswer != nil {
		r.OnAnswer(answer)
	}
}

func (r Request) maySend() error {
	if r.MaySend == nil {
		return nil
	}
	return r.MaySend()
}

type conn struct {
	net.Conn
	address   string
	limited   *limitedReader
	reader    *bufio.Reader // Reads from limited.
	idleSince time.Time
	maxIdle   time.Duration
	carried   carriedIDs // IDs of the requests that were sent on it.
	answers   int        // Number of final responses received, to any request.
	strays    int        // Those that can't be told to be the answer to the request.
	sending   *sendWatch // While a long request is sent.
	asked     bool       // A StartQuestion was answered, be it with nothing.
	startedMS int64      // The start of the endpoint that accepted it, as Unix milliseconds; 0 if it is not known.
}

// Response is the header of an endpoint's response, whose body is read with Read.
// Close must be called; before the end of the body it aborts the response.
type Response struct {
	Status int
	Header http.Header
	Meta   site.EndpointResponse
	// ContentLength is -1 if the endpoint did not state the length of the body.
	ContentLength int64
	// StartedMS is the start of the endpoint that answers, as Unix milliseconds, if it was asked;
	// 0 if it is not known.
	StartedMS int64
	// Framed is false if only the end of the connection ends the body.
	Framed bool

	pool         *Pool
	conn         *conn
	httpResponse *http.Response
	writeResult  chan error // Receives the result of writing the request once.
	stopCancel   func() bool
	maxIdleConns int
	complete     bool
}

// Send sends a request and returns the header of its response. When ctx ends, the
// connection fails, also while the body is being read.
func (p *Pool) Send(ctx context.Context, address string, request Request) (*Response, error) {
	c, err := p.get(ctx, address, request)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := request.checkStart(c); err != nil {
		c.Close()
		return nil, err
	}
	if err := request.maySend(); err != nil {
		c.Close()
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.Close() })
	c.carried.add(request.ID)
	writeResult, err := c.writeRequest(request)
	if err != nil {
		stopCancel()
		c.Close()
		return nil, err
	}
	httpResponse, err := c.readResponse(request)
	if c.strays > 0 && p.OnStray != nil {
		p.OnStray()
	}
	if err != nil {
		stopCancel()
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return &Response{
		Status: httpResponse.StatusCode, Header: httpResponse.Header, Meta: site.ParseEndpointResponse(httpResponse.StatusCode, httpResponse.Header),
		ContentLength: httpResponse.ContentLength, StartedMS: c.startedMS, Framed: isFramed(httpResponse), pool: p, conn: c, httpResponse: httpResponse, writeResult: writeResult, stopCancel: stopCancel, maxIdleConns: request.MaxIdleConns,
	}, nil
}

// isFramed reports whether a response states where its body ends.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// encodeRequest returns a request in HTTP/1.1 format.
func encodeRequest(request Request) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(request.Body))
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_ = request.Header.Write(&out) // Writes to a buffer do not fail.
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// writeRequest writes a request and returns a channel that receives the result. A
// request counts as not sent if the connection accepted only a part of it, since
// the endpoint cannot have received all of it.
func (c *conn) writeRequest(request Request) (chan error, error) {
	data := encodeRequest(request)
	result := make(chan error, 1)
	if len(data) > maxInlineWriteBytes {
		sending := watchSending(c.Conn)
		c.sending = sending
		go func() {
			_, err := c.Conn.Write(data)
			sending.setWritten()
			result <- err
		}()
		return result, nil
	}
	n, err := c.Conn.Write(data)
	result <- err
	if err != nil && n < len(data) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return result, nil
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.httpResponse.Body.Read(p)
	if errors.Is(err, io.EOF) {
		if err := r.checkUnframedEnd(); err != nil {
			return n, err
		}
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		return n, fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return n, nil
}

// writeEndTimeout is how long the end of writing a request is waited for once its answer
// has ended with the connection. On a connection that was reset, a write ends at once.
const writeEndTimeout = 500 * time.Millisecond

// checkUnframedEnd returns an error if a body that ends with its connection may have been
// cut off: if a request is still written when the connection is reset, the write may take the
// error of the reset, and reads find only an end.
func (r *Response) checkUnframedEnd() error {
	if r.Framed || r.complete {
		return nil
	}
	select {
	case err := <-r.writeResult:
		r.writeResult <- err // For reusable.
		if err != nil {
			return fmt.Errorf("%w: the connection failed while the request was sent: %w", ErrIncomplete, err)
		}
		return nil
	case <-time.After(writeEndTimeout):
		return fmt.Errorf("%w: it ended before the request was sent", ErrIncomplete)
	}
}

// Close returns the connection to the pool if it can be reused, and closes it
// otherwise.
func (r *Response) Close() {
	notCancelled := r.stopCancel()
	r.conn.sending.end()
	if !notCancelled || !r.reusable() {
		r.conn.Close()
		return
	}
	r.conn.maxIdle = defaultMaxIdle
	if keepAlive, ok := site.KeepAlive(r.Header); ok {
		r.conn.maxIdle = max(keepAlive-idleMargin, 0)
	}
	r.pool.putIdle(r.conn, r.maxIdleConns)
}

func (r *Response) reusable() bool {
	if !r.complete || r.Meta.Leaving || r.httpResponse.Close || r.conn.reader.Buffered() > 0 || r.conn.strays > 0 || r.conn.carried.full() {
		return false
	}
	select {
	case err := <-r.writeResult:
		return err == nil
	default:
		return false // The endpoint responded before it had read the whole request.
	}
}
