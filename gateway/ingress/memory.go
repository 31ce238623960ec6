package ingress

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"flamingospar.org/gateway/callermemory"
)

// passedDeadline is a read deadline that has passed.
var passedDeadline = time.Unix(1, 0)

// errHeadRefused ends the read of a head for which no memory is left. The server takes it for a
// failure of the connection and answers nothing.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("the memory held for callers is used up; remedy: send the request again later")}

// memoryRefusal is the response to a head for which no memory is left. No part of its request
// was forwarded.
const memoryRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// refusalWriteTime bounds the write of memoryRefusal.
const refusalWriteTime = 100 * time.Millisecond

// reserveHead reserves what a part of a head costs. A body is reserved where it is read.
func (c *trackedConn) reserveHead(part []byte) bool {
	c.mu.Lock()
	active := c.active
	c.mu.Unlock()
	if active {
		return true
	}
	cost := callermemory.ReadCost(part)
	if !c.account.Reserve(cost) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headCost += cost
	return true
}

// refuseHead answers a head that is read no further. All former requests of the connection are
// answered by then.
func (c *trackedConn) refuseHead() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTime)) // Fails on a closed connection only.
	_, _ = c.Write([]byte(memoryRefusal))                    // The connection is closed in any case.
}

// headStopped reports whether the caller was dropped while a head was read.
func (c *trackedConn) headStopped() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stopped && !c.active && !c.begun.IsZero()
}

// StopReading ends the read of a request whose caller is dropped.
func (c *trackedConn) StopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	_ = c.Conn.SetReadDeadline(passedDeadline) // Fails on a closed connection only.
}

// resumeReading lets the rest of a request be read that was refused.
func (c *trackedConn) resumeReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = false
}

// reserveParsedHead reserves what a request costs, in place of what was reserved while its head
// was read. A head that came with the request before was not.
func (c *trackedConn) reserveParsedHead(r *http.Request) bool {
	cost := callermemory.RequestCost(r)
	c.mu.Lock()
	reserved := c.headCost
	c.headCost = cost
	c.mu.Unlock()
	c.account.Received(0)
	c.account.Release(reserved - cost)
	return c.account.Reserve(cost - reserved)
}

// connOf returns the connection of a request, or nil if it is not tracked.
func connOf(ctx context.Context) *trackedConn {
	conn, _ := ctx.Value(connKey{}).(*trackedConn)
	return conn
}

// accountOf returns the account of the connection of a request.
func accountOf(ctx context.Context) *callermemory.Account {
	if conn := connOf(ctx); conn != nil {
		return conn.account
	}
	return nil
}

// reserveHead reserves what the head of a request costs.
func reserveHead(r *http.Request) bool {
	conn := connOf(r.Context())
	return conn == nil || conn.reserveParsedHead(r)
}

// resumeReading lets the rest of a request be read that was refused.
func resumeReading(ctx context.Context) {
	if conn := connOf(ctx); conn != nil {
		conn.resumeReading()
	}
}

// BoundHeads returns a handler that refuses requests for whose heads no memory is left.
func BoundHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !reserveHead(r) {
			w.Header().Set("Retry-After", "1")
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// BoundBodies returns a handler that reserves the bodies of requests as they are read. A read
// fails when no memory is left.
func BoundBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = reservingBody{ReadCloser: r.Body, account: accountOf(r.Context())}
		next.ServeHTTP(w, r)
	})
}

// reservingBody is a body that is reserved as it is read. It is released when its request ends.
type reservingBody struct {
	io.ReadCloser
	account *callermemory.Account
}

// Read reads from the body.
func (b reservingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.account.Reserve(int64(n)) {
		return 0, callermemory.ErrUsedUp
	}
	return n, err
}
