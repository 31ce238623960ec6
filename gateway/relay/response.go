package relay

import (
	"io"
	"net/http"
	"strconv"

	"flamingospar.org/gateway/transport"
	"flamingospar.org/platform/site"
)

// readBuffered reads up to maxBufferedResponseBytes of a body. complete is false if
// there may be more.
func readBuffered(response *transport.Response) (body []byte, complete bool, err error) {
	body, err = io.ReadAll(io.LimitReader(response, maxBufferedResponseBytes))
	if err != nil {
		return nil, false, err
	}
	return body, len(body) < maxBufferedResponseBytes, nil
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
