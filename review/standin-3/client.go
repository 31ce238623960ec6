package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestIDs atomic.Int64

// nextID returns the ID of a new request.
func nextID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, requestIDs.Add(1)) }

// request is a request of a caller.
type request struct {
	method, path, id string
	deadlineMS       int
	headers          []string // Further lines, without their ends.
	apiKey           string   // The usual one if empty.
	body             []byte
}

// text returns the request in HTTP/1.1 format.
func (r request) text() []byte {
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, host, r.id, cmp.Or(r.apiKey, key), r.deadlineMS)
	for _, line := range r.headers {
		out.WriteString(line + "\r\n")
	}
	if len(r.body) > 0 || r.method == http.MethodPost {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(r.body))
	}
	out.WriteString("\r\n")
	return append([]byte(out.String()), r.body...)
}

// answer is what a caller got.
type answer struct {
	status int
	body   []byte
	sealed bool
	err    error
}

// send sends a request on a new channel and reads the whole answer.
func send(address string, r request, timeout time.Duration) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write(r.text()); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: body, sealed: response.Header.Get("X-Engine-Seal") != "", err: err}
}
