package transport

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"flamingospar.org/platform/site"
)

// Errors of responses that can't be told to be those of a request.
var (
	errNoID   = errors.New("a response without the ID of a request, on a connection that has carried another response")
	errJoined = errors.New("a response that is joined from parts of two")
	errStatus = errors.New("a response whose status is none of HTTP, or was not asked for")
)

// match says to which request a response belongs.
type match int

const (
	matchOwn     match = iota // To the request that was sent last.
	matchOther                // To another request.
	matchUnknown              // It can't be told.
)

// readResponse reads the header of the response to request. It skips interim
// responses and responses to other requests.
func (c *conn) readResponse(request Request) (*http.Response, error) {
	httpRequest := &http.Request{Method: request.Method}
	c.limited.setLimit(maxHeaderBytes)
	for range maxStrayResponses + 1 {
		response, err := c.readFinalHeader(httpRequest, request.observe)
		if err != nil {
			return nil, err
		}
		meta := site.ParseEndpointResponse(response.StatusCode, response.Header)
		first := c.answers == 0
		c.answers++
		if meta.Ambiguous || isJoined(response) {
			c.strays++
			return nil, errJoined
		}
		switch matchResponse(meta.RequestID, request.ID, response.StatusCode, first) {
		case matchOwn:
			c.limited.setLimit(maxBodyBytes)
			return response, nil
		case matchUnknown:
			c.strays++
			return nil, errNoID
		case matchOther:
			c.strays++
		}
		if err := c.discard(response); err != nil {
			return nil, fmt.Errorf("response to another request %q: %w", meta.RequestID, err)
		}
	}
	return nil, fmt.Errorf("more than %d responses to other requests", maxStrayResponses)
}

// matchResponse returns to which request a response with an ID belongs, after a request
// was sent whose ID the connection had not carried before. A response without an ID is
// that of the request if it is the first one on its connection: an endpoint may write
// any response once more, and later ones may be such.
func matchResponse(id, requestID string, status int, first bool) match {
	switch {
	case id == requestID && (id != "" || first):
		return matchOwn
	case id != "":
		return matchOther
	case status/100 == 2:
		return matchOther
	case first:
		return matchOwn
	default:
		return matchUnknown
	}
}

// statusLine is the start of a response. Inside a header it shows that the response is
// joined from a part of one and another one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [0-9]{3}`)

// isJoined reports whether the header of a response contains the start of another.
func isJoined(response *http.Response) bool {
	if hasStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}

// readFinalHeader reads the header of the next response that is not an interim one. It
// calls observe for each header, those of interim responses included.
func (c *conn) readFinalHeader(httpRequest *http.Request, observe func(site.EndpointResponse)) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := http.ReadResponse(c.reader, httpRequest)
		if err != nil {
			return nil, err
		}
		if !mayAnswer(response.StatusCode) {
			return nil, fmt.Errorf("%w: %d", errStatus, response.StatusCode)
		}
		observe(site.ParseEndpointResponse(response.StatusCode, response.Header))
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, fmt.Errorf("%w: more than %d interim responses", ErrResponseTooLarge, maxInterimResponses)
}

// mayAnswer reports whether an endpoint may answer with a status. None is asked to switch
// protocols.
func mayAnswer(status int) bool {
	return status >= http.StatusContinue && status < 600 && status != http.StatusSwitchingProtocols
}

// discard reads the body of a response to another request. It does not count
// against the limit for headers.
func (c *conn) discard(response *http.Response) error {
	headerRemaining := c.limited.remaining
	c.limited.setLimit(maxStrayBodyBytes)
	_, err := io.Copy(io.Discard, response.Body)
	c.limited.setLimit(headerRemaining)
	if err == nil && response.Close {
		return io.ErrUnexpectedEOF
	}
	return err
}
