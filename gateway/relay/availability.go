package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"flamingospar.org/gateway/transport"
)

// retrySpreadShare is the share of the time until endpoints accept requests again over
// which the callers that are refused meanwhile are asked to return after it.
const retrySpreadShare = 0.5

// anyVersion stands for endpoints of all software versions.
const anyVersion = ""

// errPassedOver means that an endpoint was found between its selection and the sending of the
// request to want none.
var errPassedOver = fmt.Errorf("%w: it leaves, is gone, has started again or has asked to be sent nothing for a time", transport.ErrNotSent)

// heldBack reports whether a request was not sent because the endpoint wants none now.
func heldBack(err error) bool {
	return errors.Is(err, errRateLimited) || errors.Is(err, errPassedOver) || errors.Is(err, errOtherStart) || errors.Is(err, errStartNotSaid)
}

// retryIn returns the time after which a refused caller should retry because all endpoints
// of a service have asked to wait, 0 if they have not. Of engines those of a software version
// count, or all with anyVersion. It is spread so that the callers don't meet the endpoints' first
// moment all at once.
func (r *Relay) retryIn(service, version string) time.Duration {
	wait := r.Selector.RetryInAt(service, version)
	if wait <= 0 {
		return 0
	}
	return wait + rand.N(time.Duration(retrySpreadShare*float64(wait))+1)
}
