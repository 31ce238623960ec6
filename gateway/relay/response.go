package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"flamingospar.org/gateway/callermemory"
	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// readBuffered reads up to maxBufferedResponseBytes of a body, or less if there is no memory
// for it. complete is false if there may be more.
func readBuffered(response *transport.Response, memory *callermemory.Account) (body []byte, complete bool, err error) {
	buffer := callermemory.Buffer{Account: memory, Max: maxBufferedResponseBytes}
	err = buffer.ReadAll(response)
	if errors.Is(err, callermemory.ErrUsedUp) {
		return buffer.Bytes(), false, nil
	}
	if err != nil {
		buffer.Discard()
		return nil, false, err
	}
	return buffer.Bytes(), len(buffer.Bytes()) < maxBufferedResponseBytes, nil
}

// promisesNotRun reports whether a status tells a caller that its request did not run. It is
// not passed on from an endpoint that does not state this.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// writeResponse writes an endpoint's response to the caller: body, and the rest of the
// response if body is not complete.
func writeResponse(w http.ResponseWriter, response *transport.Response, body []byte, complete bool) {
	header := w.Header()
	site.CopyResponseHeaders(header, response.Header)
	suppressDefaultHeaders(header)
	if complete && response.Status >= http.StatusOK && response.Status != http.StatusNoContent {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(response.Status)
	if _, err := w.Write(body); err != nil {
		return // The caller has disconnected.
	}
	if complete {
		return
	}
	if _, err := io.Copy(w, response); err != nil {
		panic(http.ErrAbortHandler) // Keeps a truncated response from looking complete.
	}
}

// suppressDefaultHeaders keeps net/http from adding headers that the endpoint did not
// send.
func suppressDefaultHeaders(header http.Header) {
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := header[name]; !ok {
			header[name] = nil
		}
	}
}
