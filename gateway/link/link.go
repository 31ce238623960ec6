// Package link keeps connections to endpoints and sends one request at a time
// on each. It tells an attempt that can't have reached an endpoint from one
// that may have, and matches answers to requests by their id: an endpoint may
// send an answer twice, or late.
package link

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
	// userTimeout is how long sent bytes may stay without acknowledgement.
	userTimeout       = 2 * time.Second
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
	// defaultIdle is how long an idle connection is used again when the
	// endpoint does not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the endpoint's own limit a connection is given up.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerEndpoint bounds the idle connections to one address.
	maxIdlePerEndpoint = 48
	// inlineWrite is the largest request that is written before its answer is
	// read; an endpoint may answer a longer one before it has read it.
	inlineWrite = 4 << 10
	// maxStray bounds the answers to other requests that are read past.
	maxStray = 3
	// maxStrayBody bounds the body of such an answer, in bytes.
	maxStrayBody = 1 << 20
	// maxInterim bounds the interim answers before an answer.
	maxInterim = 8
	readBuffer = 4 << 10
)

// Errors of an attempt. ErrNotSent says that the endpoint can't have begun the
// request; after ErrBroken it may have.
var (
	ErrNotSent = errors.New("the request did not reach the endpoint; remedy: try another")
	ErrBroken  = errors.New("the connection ended before the whole answer; remedy: repeat only what may be repeated")
)

// Request is a request to an endpoint.
type Request struct {
	ID     string // Of the caller's request.
	Method string
	Target string // Path and query, as the caller sent them.
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a connection may have been idle to be used again;
	// 0 leaves it to the endpoint's own limit.
	MaxIdle time.Duration
}

type conn struct {
	net.Conn
	address  string
	intake   *intake
	reader   *bufio.Reader // Of the intake.
	idleFrom time.Time
	maxIdle  time.Duration
}

// Answer is the head of an endpoint's answer; its body follows by Read. Close
// must be called, after the body's end or before it to stop the endpoint.
type Answer struct {
	Status int
	Header http.Header
	Meta   site.EndpointAnswer
	// Length of the body in bytes, -1 when the endpoint did not say.
	Length int64

	pool     *Pool
	conn     *conn
	response *http.Response
	written  chan error
	stop     func() bool
	ended    bool
}

// Send sends a request and returns the head of its answer. The end of ctx ends
// the connection, also while the body is read.
func (p *Pool) Send(ctx context.Context, address string, request Request) (*Answer, error) {
	c, err := p.get(ctx, address, request.MaxIdle)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written, err := c.write(request)
	if err != nil {
		stop()
		c.Close()
		return nil, err
	}
	response, err := c.read(request)
	if err != nil {
		stop()
		c.Close()
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Meta: site.ReadEndpointAnswer(response.StatusCode, response.Header),
		Length: response.ContentLength, pool: p, conn: c, response: response, written: written, stop: stop,
	}, nil
}

// encode returns the bytes of a request.
func encode(request Request) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(request.Body))
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_ = request.Header.Write(&out) // A buffer takes every write.
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// write sends a request. Only a request whose every byte was handed over can
// have reached the endpoint whole.
func (c *conn) write(request Request) (chan error, error) {
	data := encode(request)
	written := make(chan error, 1)
	if len(data) > inlineWrite {
		go func() {
			_, err := c.Conn.Write(data)
			written <- err
		}()
		return written, nil
	}
	n, err := c.Conn.Write(data)
	written <- err
	if err != nil && n < len(data) {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return written, nil
}

// read reads the head of the answer to request, past interim answers and those
// to other requests.
func (c *conn) read(request Request) (*http.Response, error) {
	asked := &http.Request{Method: request.Method}
	c.intake.allow(maxHeads)
	for range maxStray + 1 {
		response, err := c.readHead(asked)
		if err != nil {
			return nil, err
		}
		id := site.ReadEndpointAnswer(response.StatusCode, response.Header).RequestID
		if id == request.ID || (id == "" && response.StatusCode/100 != 2) {
			c.intake.allow(maxBody)
			return response, nil
		}
		if err := c.skip(response); err != nil {
			return nil, fmt.Errorf("answer to another request %q: %w", id, err)
		}
	}
	return nil, fmt.Errorf("more than %d answers to other requests", maxStray)
}

// readHead reads the head of the next answer that is not an interim one.
func (c *conn) readHead(asked *http.Request) (*http.Response, error) {
	for range maxInterim + 1 {
		response, err := http.ReadResponse(c.reader, asked)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim answers", ErrOverlong, maxInterim)
}

// skip reads past the body of an answer to another request. What is left of the
// allowance for heads stays as it was.
func (c *conn) skip(response *http.Response) error {
	heads := c.intake.left
	c.intake.allow(maxStrayBody)
	_, err := io.Copy(io.Discard, response.Body)
	c.intake.allow(heads)
	if err == nil && response.Close {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read reads the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		a.ended = true
		return n, io.EOF
	}
	if err != nil {
		return n, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept when it can be used again.
func (a *Answer) Close() {
	running := a.stop()
	if !running || !a.reusable() {
		a.conn.Close()
		return
	}
	a.conn.maxIdle = defaultIdle
	if keep, ok := site.KeepAlive(a.Header); ok {
		a.conn.maxIdle = max(keep-idleMargin, 0)
	}
	a.pool.put(a.conn)
}

func (a *Answer) reusable() bool {
	if !a.ended || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false // The endpoint answered before it had read the request.
	}
}
