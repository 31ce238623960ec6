// Package ingress serves callers' requests over HTTP. It matches the route of a
// request, checks its key, reads its body completely and passes it to the relay.
// Each request ends with one log line and updates the request metrics.
package ingress

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"flamingospar.org/base/meter"
	"flamingospar.org/core/outage"
	"flamingospar.org/gateway/config"
	"flamingospar.org/gateway/crashes"
	"flamingospar.org/gateway/quotas"
	"flamingospar.org/gateway/relay"
	"flamingospar.org/gateway/stopping"
	"flamingospar.org/platform/site"
)

// Timeouts and limits. A default applies where the caller or the configuration
// states no value.
const (
	// defaultTimeout applies to a caller that states no deadline.
	defaultTimeout = 10 * time.Second
	// notReadyJitter spreads the return of callers that a process without a configuration
	// has refused.
	notReadyJitter = 500 * time.Millisecond
	// writeMargin is how long after its deadline, or after the request was read if that was
	// later, a response may still be written, so that a slow client cannot occupy the
	// request for longer.
	writeMargin = 3 * time.Second
	// refusalTimeout is how long a refusal may be written. It is longer than the rest of the body
	// is read for.
	refusalTimeout = 2 * bodyReadMargin
	// memoryRetryAfter is the Retry-After time of a request for which no memory is left.
	memoryRetryAfter = time.Second
)

// memoryUsedUp is the refusal of a request for which no memory is left.
var memoryUsedUp = refusal{status: http.StatusServiceUnavailable, reason: "memory", retryIn: memoryRetryAfter}

// Handler serves the HTTP requests of callers.
type Handler struct {
	Started time.Time // When this process started.
	Config  *config.Holder
	Relay   *relay.Relay
	Meter   *meter.Registry
	Log     *RequestLog
	// Crashes knows the requests that are refused because they crash endpoints.
	Crashes *crashes.Tracker
	// Quotas keeps to the quotas of teams.
	Quotas *quotas.Quotas
	// Stopping knows which requests are still taken while this process stops; it may be nil.
	Stopping *stopping.Gate
}

// ServeHTTP serves one request. A panic ends only this request: its effects are
// unknown, so its connection is closed without a complete response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer func() {
		recovered := recover()
		if recovered == nil {
			return
		}
		if recovered != any(http.ErrAbortHandler) {
			h.Meter.Count("panic", "request")
			h.Log.Panicked(site.ParseCallerRequest(r.Header).ID, recovered)
		}
		// Otherwise the server would wait for a body that was not read before it closes.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		if !r.ProtoAtLeast(1, 1) {
			resetOnClose(r.Context()) // Nothing else shows that the response is not complete.
		}
		panic(http.ErrAbortHandler)
	}()
	h.handle(w, r)
}

func (h *Handler) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // Clears the deadline of the connection's previous request.
	out := closingWriter{ResponseWriter: w, ctx: r.Context()}
	if !reserveHead(r) {
		h.refuse(out, r, arrived, memoryUsedUp)
		return
	}
	current := h.Config.Current()
	if current == nil {
		h.refuse(out, r, arrived, refusal{status: http.StatusServiceUnavailable, reason: "no_configuration", retryIn: outage.RetryAfter(arrived.Sub(h.Started)) + rand.N(notReadyJitter)})
		return
	}
	job, permit, refused := h.admit(w, r, current, arrived)
	if refused.status != 0 {
		permit.GiveBack()
		h.refuse(out, r, arrived, refused)
		return
	}
	if connClosed(r.Context()) {
		permit.GiveBack()
		h.Meter.Count("request", "refused", "connection_closed")
		h.Log.Refused(job.Caller.ID, refusal{reason: "connection_closed"}, current.Version, time.Since(arrived))
		panic(http.ErrAbortHandler)
	}
	outcome := h.serve(r.Context(), out, job)
	if outcome.NothingRan() {
		permit.GiveBack()
	}
	if outcome.Reason == relay.ReasonBroken || outcome.Reason == relay.ReasonCallerLeft {
		panic(http.ErrAbortHandler) // The response must not look complete to the caller.
	}
}

// refusal is the response to a request that is not passed to the relay.
type refusal struct {
	status  int
	reason  string
	retryIn time.Duration // Of a status that promises that the request has not run.
	part    string        // The part of the prompt that endpoints crash on.
	team    string        // Whose quota is used up.
	units   float64       // That the request counts as.
}

// admit checks a request against the configuration, takes its units of the team's quota and
// reads it. The units are to be given back if it is refused.
func (h *Handler) admit(w http.ResponseWriter, r *http.Request, current *config.Config, arrived time.Time) (*relay.Job, quotas.Permit, refusal) {
	job, team, refused := h.check(r, current, arrived)
	if refused.status != 0 {
		return nil, quotas.Permit{}, refused
	}
	permit, refused := h.takeQuota(r.Context(), team, job)
	if refused.status != 0 {
		return nil, permit, refused
	}
	return job, permit, h.read(w, r, current, job, team)
}

// takeQuota takes the units of a request if its team has a quota.
func (h *Handler) takeQuota(ctx context.Context, team site.Team, job *relay.Job) (quotas.Permit, refusal) {
	if !team.Quota.Limited() {
		return quotas.Permit{}, refusal{}
	}
	units := team.Quota.Units(job.Caller.Prompt)
	permit, refused := h.Quotas.Take(ctx, team.Name, quotas.NewLimit(team.Quota, job.ConfigVersion), units)
	if refused != nil {
		return permit, refusal{status: http.StatusTooManyRequests, reason: "team_quota", retryIn: refused.RetryIn, team: team.Name, units: units}
	}
	return permit, refusal{}
}

// check checks the header of a request against the configuration.
func (h *Handler) check(r *http.Request, current *config.Config, arrived time.Time) (*relay.Job, site.Team, refusal) {
	none := site.Team{}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	route, ok := current.Match(r.Host, path)
	if !ok {
		return nil, none, refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	caller := site.ParseCallerRequest(r.Header)
	team, refused := authenticate(current, route, caller)
	if refused.status != 0 {
		return nil, none, refused
	}
	if caller.ID == "" {
		return nil, none, refusal{status: http.StatusBadRequest, reason: "no_request_id"}
	}
	job := &relay.Job{
		Caller: caller, Method: r.Method, Target: target, Host: r.Host, Header: site.ForwardHeaders(r.Header),
		Route: route, Service: pickService(route), Team: team.Name, Priority: route.Priority, Arrived: arrived,
		Deadline: deadline(caller, route, arrived), ConfigVersion: current.Version, Memory: accountOf(r.Context()),
	}
	if !h.Stopping.MayBegin(job.StopRequest()) {
		return nil, none, refusal{status: http.StatusServiceUnavailable, reason: string(relay.ReasonStopping), retryIn: stopping.RetryAfter()}
	}
	return job, team, refusal{}
}

// read reads the body of a request and decides whether endpoints crash on it.
func (h *Handler) read(w http.ResponseWriter, r *http.Request, current *config.Config, job *relay.Job, team site.Team) refusal {
	path, query, _ := strings.Cut(job.Target, "?")
	var refused refusal
	job.Body, refused = readBody(w, r, current.CallerLimits)
	if refused.status != 0 {
		return refused
	}
	identity := crashes.Request{Team: team.Name, Path: path, Query: query, Body: job.Body, Parts: job.Caller.Prompt.SharedParts()}
	decision := h.Crashes.Decide(identity)
	if decision.Refused {
		return refusal{status: http.StatusServiceUnavailable, reason: "crashes_endpoints", retryIn: decision.RetryIn, part: decision.Part}
	}
	job.Identity, job.Trial = identity, decision.Trial
	if job.Caller.LastEventID != "" {
		job.FormerServices = h.Config.FormerServices(r.Host, path)
	}
	if team.Priority != nil {
		job.Priority = *team.Priority
	}
	return refusal{}
}

// authenticate returns the team of the caller's key, if the route needs a key.
func authenticate(current *config.Config, route site.Route, caller site.CallerRequest) (site.Team, refusal) {
	if !current.NeedsKey(route) {
		return site.Team{}, refusal{}
	}
	team, ok := current.TeamByKey(caller.Key)
	if !ok || caller.Key == "" {
		return site.Team{}, refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
	}
	return team, refusal{}
}

func deadline(caller site.CallerRequest, route site.Route, arrived time.Time) time.Time {
	timeout := caller.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return arrived.Add(timeout)
}

// pickService picks the service of a route at random, by the weights of its targets.
func pickService(route site.Route) string {
	total := 0.0
	for _, target := range route.Targets {
		total += max(target.Weight, 0)
	}
	draw := rand.Float64() * total
	for _, target := range route.Targets {
		draw -= max(target.Weight, 0)
		if draw < 0 {
			return target.Service
		}
	}
	return route.Targets[0].Service
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, arrived time.Time, refused refusal) {
	caller := site.ParseCallerRequest(r.Header)
	site.SetRequestID(w.Header(), caller.ID)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTimeout)) // Server connections support deadlines.
	if refused.status == http.StatusServiceUnavailable || refused.status == http.StatusTooManyRequests {
		site.SetRetryAfter(w.Header(), refused.retryIn)
	}
	if refused.status == http.StatusRequestTimeout || refused.reason == memoryUsedUp.reason {
		w.Header().Set("Connection", "close") // Otherwise the server reads the body before it sends the header.
	}
	writeRefusal(w, refused)
	h.Meter.Count("request", "refused", refused.reason)
	h.Log.Refused(caller.ID, refused, h.Config.Version(), time.Since(arrived))
	resumeReading(r.Context())
	discardBody(w, r, discardTime(refused))
}

// writeRefusal writes what http.Error does, and the length, so that the response is whole for
// its caller before the body of the request is read.
func writeRefusal(w http.ResponseWriter, refused refusal) {
	text := refused.reason + "\n"
	header := w.Header()
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(refused.status)
	_, _ = io.WriteString(w, text) // An error ends the connection.
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, job *relay.Job) relay.Outcome {
	writeBy := later(job.Deadline, time.Now()).Add(writeMargin)
	_ = http.NewResponseController(w).SetWriteDeadline(writeBy) // Server connections support deadlines.
	outcome := h.Relay.Serve(ctx, w, job)
	duration := time.Since(job.Arrived)
	h.recordMetrics(job, outcome, duration)
	h.Log.Ended(job, outcome, duration)
	return outcome
}

func (h *Handler) recordMetrics(job *relay.Job, outcome relay.Outcome, duration time.Duration) {
	kind := string(job.Route.Kind)
	result := "answered"
	if outcome.Reason != relay.ReasonNone {
		result = string(outcome.Reason)
	}
	h.Meter.Count("request", kind, result)
	h.Meter.Observe(duration.Milliseconds(), "request", kind, "total_ms")
	if outcome.TimeToFirstByte > 0 {
		h.Meter.Observe(outcome.TimeToFirstByte.Milliseconds(), "request", kind, "first_ms")
	}
}
