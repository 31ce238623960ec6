// Package limits keeps to the rates of requests that endpoints say they accept from all
// processes together.
//
// For each such endpoint one process, which all processes find by ranking the list of
// VMs, shares out the rate. It uses it for its own callers and grants permits to others
// that ask. Others ask only when no other endpoint can serve a request in time, so that
// a limit costs no messages while there is room elsewhere, and its rate is not left
// unused while callers are refused. What endpoints state spreads with the exchange of
// states between processes.
package limits

import (
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/ratelimit"
	"flamingospar.org/gateway/ranking"
	"flamingospar.org/platform/site"
)

var log = logging.For("gateway/limits")

// maxLinesPerSec bounds the lines about limits: an endpoint may state another one in
// each answer.
const maxLinesPerSec = 20

// Times for which statements are kept.
const (
	// goneRetention is how long the statement of an endpoint that is no longer listed
	// is kept: its row may lapse while the endpoint goes on.
	goneRetention = 60 * time.Second
	// endedRetention is how long other processes are told that a limit has ended.
	endedRetention = 15 * time.Second
	// peerRetention is how long the times of reports to a process are kept.
	peerRetention = 60 * time.Second
)

// Limiter knows the limits of endpoints and decides whether a request may be sent. It
// is safe for concurrent use.
type Limiter struct {
	vm    string // Of this process.
	fleet Fleet
	meter *meter.Registry
	now   func() time.Time
	lines logging.LineBudget
	// maxWait bounds the time that a request waits for a permit.
	maxWait time.Duration

	mu        sync.Mutex
	endpoints map[string]*endpoint // Listed ones, and for goneRetention former ones, by ID.
	limited   map[string]*endpoint // Listed ones that state a limit, by ID.
	ended     map[string]*endpoint // Those whose limit ended within endedRetention, by ID.
	reported  map[string]time.Time // Time of the last report of all limits, by peer.
	sentTo    map[string]time.Time // Time of the last report, by peer.
}

// endpoint is what this process knows of the limit of one endpoint.
type endpoint struct {
	id        string
	startedMS int64
	goneAt    time.Time // Zero while it is listed.
	statement ratelimit.Statement
	changedAt time.Time // When the limit last changed, or was last found to be unknown to a peer.

	ranking ranking.Ranking // VMs that share out the limit, the first that is alive.
	share   float64         // Part of the rate that this process shares out.
	ledger  ratelimit.Ledger

	permits  []time.Time // Expiry of each permit of another process, in order.
	wantedAt time.Time   // When a process last wanted more than it was granted.
	askAfter time.Time
	asking   chan struct{} // Closed when the current question is answered; nil without one.
	unmet    int           // Requests that wait for the current question or came since the last.
}

// New returns a limiter of the process on vm that knows no endpoints.
func New(vm string, fleet Fleet, metrics *meter.Registry, now func() time.Time) *Limiter {
	return &Limiter{
		vm: vm, fleet: fleet, meter: metrics, now: now, maxWait: defaultMaxWait, endpoints: make(map[string]*endpoint), limited: make(map[string]*endpoint),
		ended: make(map[string]*endpoint), reported: make(map[string]time.Time), sentTo: make(map[string]time.Time),
	}
}

// EndpointChanged implements fleet.Listener. An endpoint that has restarted has not
// stated a limit yet.
func (l *Limiter) EndpointChanged(changed site.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.endpoints[changed.ID]
	if !ok || known.startedMS != changed.StartedMS {
		delete(l.limited, changed.ID)
		delete(l.ended, changed.ID)
		l.endpoints[changed.ID] = &endpoint{id: changed.ID, startedMS: changed.StartedMS}
		return
	}
	known.goneAt = time.Time{}
	if known.statement.Limited {
		l.limited[changed.ID] = known
	}
}

// EndpointGone implements fleet.Listener.
func (l *Limiter) EndpointGone(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, ok := l.endpoints[id]; ok {
		known.goneAt = l.now()
	}
	delete(l.limited, id)
	delete(l.ended, id)
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
	l.apply(e, ratelimit.Answered(response.RateLimit.Stated, min(response.RateLimit.PerSecond, maxRate), sentAt, l.now()), l.vm)
}

// apply replaces the statement of an endpoint by a newer one, received by the process on
// source. l.mu must be held.
func (l *Limiter) apply(e *endpoint, statement ratelimit.Statement, source string) {
	if !statement.Newer(e.statement) {
		return
	}
	previous := e.statement
	e.statement = statement
	if statement.SameLimit(previous) {
		return
	}
	now := l.now()
	e.changedAt = now
	fields := []any{"per_second", statement.PerSecond, "previous", previous.PerSecond, "age_ms", now.Sub(statement.At).Milliseconds(), "source", source}
	if !statement.Limited {
		delete(l.limited, e.id)
		l.ended[e.id] = e
		e.share, e.ledger, e.permits, e.askAfter = 0, ratelimit.Ledger{}, nil, time.Time{}
		l.meter.Count("limit", "ended")
		l.log(e, "An endpoint no longer limits its requests.", fields...)
		return
	}
	delete(l.ended, e.id)
	if e.goneAt.IsZero() {
		l.limited[e.id] = e
	}
	l.updateShare(e)
	l.meter.Count("limit", "stated")
	l.log(e, "An endpoint limits its requests.", fields...)
}

// log writes a line about an endpoint unless there were too many in this second.
func (l *Limiter) log(e *endpoint, message string, fields ...any) {
	if ok, omitted := l.lines.Allow("", maxLinesPerSec); ok {
		log.Info(message, append([]any{"endpoint", e.id, "lines_omitted", omitted}, fields...)...)
	}
}

// Limited reports whether an endpoint states a limit.
func (l *Limiter) Limited(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.limited[id]
	return ok
}

// Gauges returns the limits of endpoints in requests a minute and the part of each that
// this process shares out in percent, by endpoint and name of the metric.
func (l *Limiter) Gauges() map[string]map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	gauges := make(map[string]map[string]int64, len(l.limited))
	for id, e := range l.limited {
		gauges[id] = map[string]int64{"per_minute": int64(e.statement.PerSecond * time.Minute.Seconds()), "share_percent": int64(100 * e.share)}
	}
	return gauges
}
