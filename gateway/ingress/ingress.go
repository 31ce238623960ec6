// Package ingress takes callers' requests: it reads them whole, matches their
// route, checks their key and hands them to the relay. Each request ends with
// one log line and its counters.
package ingress

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"flamingospar.org/base/meter"
	"flamingospar.org/gateway/config"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/platform/site"
)

// Limits until a configuration states its own.
const (
	// defaultPatience is how long a caller waits that does not say.
	defaultPatience = 10 * time.Second
	// bodySlack is added to the time that a caller has for its header, for the body.
	bodySlack      = 5 * time.Second
	defaultMaxBody = 4 << 20
	// notReadyRetry is when to come back to a process without a configuration.
	notReadyRetry = 500 * time.Millisecond
	// crashRetry is the same of a request that crashes endpoints: an operator
	// has to look first.
	crashRetry = 60 * time.Second
	// writeSlack is how long after its deadline an answer may still be written. A
	// caller that reads a byte now and then must not hold it for longer.
	writeSlack = 3 * time.Second
)

// Handler serves callers.
type Handler struct {
	Config *config.Holder
	Relay  *relay.Relay
	Meter  *meter.Registry
	Log    *RequestLog
	// Crashes tells of requests that are not run, since they crash endpoints.
	Crashes *crashes.Marks
}

// ServeHTTP implements http.Handler. A panic ends the one request: what it did is
// not known, so its connection is closed without an answer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if cause != any(http.ErrAbortHandler) {
			h.Meter.Count("panic", "request")
			h.Log.Panicked(site.ReadCallerRequest(r.Header).ID, cause)
		}
		panic(http.ErrAbortHandler)
	}()
	h.handle(w, r)
}

func (h *Handler) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // That of the connection's last request.
	current := h.Config.Current()
	if current == nil {
		h.refuse(w, r, arrived, refusal{http.StatusServiceUnavailable, "no_configuration"})
		return
	}
	job, refused := h.admit(w, r, current, arrived)
	if refused.status != 0 {
		h.refuse(w, r, arrived, refused)
		return
	}
	if connClosed(r.Context()) {
		h.Meter.Count("request", "refused", "connection_closed")
		h.Log.Refused(job.Caller.ID, 0, "connection_closed", current.Version, time.Since(arrived))
		panic(http.ErrAbortHandler)
	}
	h.serve(r.Context(), w, job)
}

// refusal is an answer of this process to a request that goes no further.
type refusal struct {
	status int
	reason string
}

// admit reads a request and checks it against the configuration.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, current *config.Config, arrived time.Time) (*relay.Job, refusal) {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := current.Match(r.Host, path)
	if !ok {
		return nil, refusal{http.StatusNotFound, "no_route"}
	}
	caller := site.ReadCallerRequest(r.Header)
	team, refused := authenticate(current, route, caller)
	if refused.status != 0 {
		return nil, refused
	}
	if caller.ID == "" {
		return nil, refusal{http.StatusBadRequest, "no_request_id"}
	}
	body, refused := readBody(w, r, current.Caller)
	if refused.status != 0 {
		return nil, refused
	}
	if h.Crashes.Refused(team.Name, path, body) {
		return nil, refusal{http.StatusServiceUnavailable, "crashes_endpoints"}
	}
	job := &relay.Job{
		Caller: caller, Method: r.Method, Target: target, Host: r.Host, Header: site.ForwardHeaders(r.Header), Body: body,
		Route: route, Service: pickTarget(route), Team: team.Name, Priority: route.Priority, Arrived: arrived,
		Deadline: deadline(caller, route, arrived), Version: current.Version,
	}
	if team.Priority != nil {
		job.Priority = *team.Priority
	}
	return job, refusal{}
}

func authenticate(current *config.Config, route site.Route, caller site.CallerRequest) (site.Team, refusal) {
	if !current.NeedsKey(route) {
		return site.Team{}, refusal{}
	}
	team, ok := current.TeamOf(caller.Key)
	if !ok || caller.Key == "" {
		return site.Team{}, refusal{http.StatusUnauthorized, "unknown_key"}
	}
	return team, refusal{}
}

func deadline(caller site.CallerRequest, route site.Route, arrived time.Time) time.Time {
	patience := caller.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	if route.Timeout > 0 {
		patience = min(patience, route.Timeout)
	}
	return arrived.Add(patience)
}

// pickTarget draws the service of a split route by weight.
func pickTarget(route site.Route) string {
	total := 0.0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	at := rand.Float64() * total
	for _, target := range route.Targets {
		at -= max(target.Weight, 0)
		if at < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

func readBody(w http.ResponseWriter, r *http.Request, limits site.CallerLimits) ([]byte, refusal) {
	if r.ContentLength == 0 {
		return nil, refusal{}
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return nil, refusal{http.StatusRequestEntityTooLarge, "body_too_large"}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(limits.HeaderTimeout + bodySlack)) // Every server connection takes one.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusal{http.StatusRequestEntityTooLarge, "body_too_large"}
	case err != nil:
		return nil, refusal{http.StatusRequestTimeout, "body_not_read"}
	default:
		return body, refusal{}
	}
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, arrived time.Time, refused refusal) {
	caller := site.ReadCallerRequest(r.Header)
	site.SetRequestID(w.Header(), caller.ID)
	if refused.status == http.StatusServiceUnavailable {
		site.SetRetryAfter(w.Header(), retryAfter(refused.reason))
	}
	http.Error(w, refused.reason, refused.status)
	h.Meter.Count("request", "refused", refused.reason)
	h.Log.Refused(caller.ID, refused.status, refused.reason, h.Config.Version(), time.Since(arrived))
}

func retryAfter(reason string) time.Duration {
	if reason == "crashes_endpoints" {
		return crashRetry
	}
	return notReadyRetry
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, job *relay.Job) {
	_ = http.NewResponseController(w).SetWriteDeadline(job.Deadline.Add(writeSlack)) // Every server connection takes one.
	outcome := h.Relay.Serve(ctx, w, job)
	took := time.Since(job.Arrived)
	h.count(job, outcome, took)
	h.Log.Ended(job, outcome, took)
	if outcome.Reason == relay.ReasonBroken || outcome.Reason == relay.ReasonCallerLeft {
		panic(http.ErrAbortHandler) // What the caller got must not look complete.
	}
}

func (h *Handler) count(job *relay.Job, outcome relay.Outcome, took time.Duration) {
	kind := string(job.Route.Kind)
	result := "answered"
	if outcome.Reason != relay.ReasonNone {
		result = string(outcome.Reason)
	}
	h.Meter.Count("request", kind, result)
	h.Meter.Observe(took.Milliseconds(), "request", kind, "total_ms")
	if outcome.First > 0 {
		h.Meter.Observe(outcome.First.Milliseconds(), "request", kind, "first_ms")
	}
}
