package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"flamingospar.org/gateway/callermemory"
	"flamingospar.org/platform/site"
)

// Limits on the bodies of requests.
const (
	// bodyReadMargin is added to the header timeout to get the timeout for the body.
	bodyReadMargin = 5 * time.Second
	// defaultMaxBodyBytes applies where the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxDiscardedBytes bounds what is read of the body of a request that was refused.
	maxDiscardedBytes = defaultMaxBodyBytes
	// memoryDiscardTime is how long the rest of the body of a request is read for which no memory
	// is left. Its head is held until then, and others wait for it.
	memoryDiscardTime = 500 * time.Millisecond
)

// readBody reads the body of a request within the limits for callers and the memory held for
// them. Once a body is read, its caller is no longer dropped.
func readBody(w http.ResponseWriter, r *http.Request, limits site.CallerLimits) ([]byte, refusal) {
	account := accountOf(r.Context())
	if r.ContentLength == 0 {
		if !account.Forward() {
			return nil, memoryUsedUp
		}
		return nil, refusal{}
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return nil, refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	}
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + bodyReadMargin)) // Server connections support deadlines.
	// One byte more than the body has room for the end of it.
	buffer := callermemory.Buffer{Account: account, Max: maxBytes + 1, Wait: true}
	if r.ContentLength >= 0 {
		buffer.Max = r.ContentLength + 1
	}
	err := buffer.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err == nil && account.Forward() {
		_ = controller.SetReadDeadline(time.Time{})
		return buffer.Bytes(), refusal{}
	}
	buffer.Discard()
	return nil, bodyRefusal(err, account)
}

// bodyRefusal returns the refusal of a request whose body was not read.
func bodyRefusal(err error, account *callermemory.Account) refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, callermemory.ErrUsedUp) || account.Dropped():
		return memoryUsedUp
	default:
		return refusal{status: http.StatusRequestTimeout, reason: "body_not_read"}
	}
}

// discardTime returns how long the rest of the body of a refused request is read.
func discardTime(refused refusal) time.Duration {
	if refused.reason == memoryUsedUp.reason {
		return memoryDiscardTime
	}
	return bodyReadMargin
}

// discardBody sends the response and reads what is left of the body. The system resets a
// connection that is closed before that, so that a caller which sends its whole request
// before it reads would get no response. A caller that waits for 100 Continue is not asked
// for its body any more.
func discardBody(w http.ResponseWriter, r *http.Request, timeout time.Duration) {
	if r.ContentLength == 0 {
		return
	}
	controller := http.NewResponseController(w)
	// The deadline stays in force, since the server reads too, until the body has ended or
	// the connection is closed.
	_ = controller.SetReadDeadline(time.Now().Add(timeout)) // Server connections support deadlines.
	_ = controller.Flush()                                  // An error ends the connection.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)  // What is not read then is not waited for.
}
