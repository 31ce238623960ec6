// Package limits tracks the rates of requests that endpoints say they accept from all
// processes together.
package limits

import (
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/ratelimit"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/limits")

// Limiter knows the limits of endpoints. It is safe for concurrent use.
type Limiter struct {
	vm    string
	meter *meter.Registry
	now   func() time.Time

	mu        sync.Mutex
	endpoints map[string]*endpoint // All listed ones, by ID.
	limited   map[string]*endpoint // Those that state a limit, by ID.
}

// endpoint is what this process knows of the limit of one endpoint.
type endpoint struct {
	id        string
	startedMS int64
	statement ratelimit.Statement
}

// New returns a limiter of the process on vm that knows no endpoints.
func New(vm string, metrics *meter.Registry, now func() time.Time) *Limiter {
	return &Limiter{vm: vm, meter: metrics, now: now, endpoints: make(map[string]*endpoint), limited: make(map[string]*endpoint)}
}

// EndpointChanged implements fleet.Listener. An endpoint that has restarted has not
// stated a limit yet.
func (l *Limiter) EndpointChanged(changed site.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.endpoints[changed.ID]; ok && known.startedMS == changed.StartedMS {
		return
	}
	delete(l.limited, changed.ID)
	l.endpoints[changed.ID] = &endpoint{id: changed.ID, startedMS: changed.StartedMS}
}

// EndpointGone implements fleet.Listener.
func (l *Limiter) EndpointGone(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.endpoints, id)
	delete(l.limited, id)
}

// Observe records what the response to a request that was sent at sentAt says of the
// endpoint's limit. Another endpoint at the same address says nothing of this one.
func (l *Limiter) Observe(to site.Endpoint, sentAt time.Time, response site.EndpointResponse) {
	if response.Misdirected || response.RateLimit.Malformed {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.endpoints[to.ID]
	if !ok || e.startedMS != to.StartedMS {
		return
	}
	l.apply(e, ratelimit.Answered(response.RateLimit.Stated, response.RateLimit.PerSecond, sentAt, l.now()), l.vm)
}

// apply replaces the statement of an endpoint by a newer one. l.mu must be held.
func (l *Limiter) apply(e *endpoint, statement ratelimit.Statement, source string) {
	if !statement.Newer(e.statement) {
		return
	}
	previous := e.statement
	e.statement = statement
	if statement.SameLimit(previous) {
		return
	}
	fields := []any{"endpoint", e.id, "per_second", statement.PerSecond, "previous", previous.PerSecond, "age_ms", l.now().Sub(statement.At).Milliseconds(), "source", source}
	if !statement.Limited {
		delete(l.limited, e.id)
		l.meter.Count("limit", "ended")
		log.Info("An endpoint no longer limits its requests.", fields...)
		return
	}
	l.limited[e.id] = e
	l.meter.Count("limit", "stated")
	log.Info("An endpoint limits its requests.", fields...)
}

// CountSend counts a request that is sent to an endpoint while it states a limit.
func (l *Limiter) CountSend(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.limited[id]; ok {
		l.meter.Count("limit", "sent")
	}
}

// Gauges returns the limits of endpoints in requests a minute, by endpoint and name of
// the metric.
func (l *Limiter) Gauges() map[string]map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	gauges := make(map[string]map[string]int64, len(l.limited))
	for id, e := range l.limited {
		gauges[id] = map[string]int64{"per_minute": int64(e.statement.PerSecond * time.Minute.Seconds())}
	}
	return gauges
}
