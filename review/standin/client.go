package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "3fexd9dnn2ctnfzs989a"

// request is one attempt of a requester.
type request struct {
	id, route, method string
	deadline          time.Duration
	gap               time.Duration // The longest gap in a stream for which it waits; 0 for any.
	header            map[string]string
	body              string
}

// outcome is what the requester saw.
type outcome struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
	took     time.Duration
	// software holds the versions of the engines' software in the events, in order, and lastID
	// the ID of the last whole event.
	software []string
	engines  []string
	lastID   string
}

// channel is a connection of a requester.
type channel struct {
	net.Conn
	reader *bufio.Reader
	gap    time.Duration // After which nothing more is waited for; 0 for no such limit.
	until  time.Time     // When the answer is waited for no longer.
}

// Read implements io.Reader.
func (c *channel) Read(p []byte) (int, error) {
	until := c.until
	if c.gap > 0 && time.Now().Add(c.gap).Before(until) {
		until = time.Now().Add(c.gap)
	}
	_ = c.SetReadDeadline(until)
	return c.Conn.Read(p)
}

func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c := &channel{Conn: conn}
	c.reader = bufio.NewReader(c)
	return c, nil
}

func (r request) text() string {
	var b strings.Builder
	method := r.method
	if method == "" {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /%s/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, r.route, r.id, r.deadline.Milliseconds(), apiKey)
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n")
	if method != "GET" {
		b.WriteString(r.body)
	}
	return b.String()
}

var pieceLine = regexp.MustCompile(`^data: piece \d+ of \S+ by (\S+) software (\S+)$`)

// send sends a request on a channel and reads the answer.
func (c *channel) send(r request) (out outcome) {
	start := time.Now()
	defer func() { out.took = time.Since(start) }()
	c.until, c.gap = start.Add(r.deadline+2*time.Second), r.gap
	_ = c.SetWriteDeadline(c.until)
	if _, out.err = io.WriteString(c, r.text()); out.err != nil {
		return out
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		out.err = err
		return out
	}
	out.status, out.header = response.StatusCode, response.Header
	if response.Close {
		out.header.Set("Connection", "close")
	}
	body, err := io.ReadAll(response.Body)
	out.body, out.err, out.complete = string(body), err, err == nil
	for _, event := range strings.Split(out.body, "\n\n") {
		for _, line := range strings.Split(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok && strings.Contains(event, "data:") {
				out.lastID = id
			}
			if match := pieceLine.FindStringSubmatch(line); match != nil {
				out.engines = appendNew(out.engines, match[1])
				out.software = appendNew(out.software, match[2])
			}
		}
	}
	return out
}

func appendNew(list []string, item string) []string {
	for _, known := range list {
		if known == item {
			return list
		}
	}
	return append(list, item)
}

// sendOnce sends a request on a new channel.
func sendOnce(address string, r request) outcome {
	c, err := open(address)
	if err != nil {
		return outcome{err: err}
	}
	defer c.Close()
	return c.send(r)
}
