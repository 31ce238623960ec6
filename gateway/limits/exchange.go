package limits

import (
	"time"

	"flamingospar.org/core/ratelimit"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// reportInterval is the time between two reports of all limits to a peer. Changes
	// are reported at once.
	reportInterval = 1 * time.Second
	// maxAge is the largest age of a statement that is told apart.
	maxAge = 1 * time.Hour
	// maxRate, in requests a second, is far above the rate of any endpoint. A larger
	// rate that an endpoint states counts as this one; one in a message of another process is
	// invalid.
	maxRate = 1e9
)

// Report returns the limits to report to the process on VM peer.
func (l *Limiter) Report(peer string) []*wirev1.EndpointLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	all := now.Sub(l.reported[peer]) >= reportInterval
	lastSent := l.sentTo[peer]
	l.sentTo[peer] = now
	if all {
		l.reported[peer] = now
	}
	var report []*wirev1.EndpointLimit
	for _, group := range []map[string]*endpoint{l.limited, l.ended} {
		for _, e := range group {
			if all || !e.changedAt.Before(lastSent) {
				report = append(report, encode(e, now))
			}
		}
	}
	return report
}

func encode(e *endpoint, now time.Time) *wirev1.EndpointLimit {
	age := min(max(now.Sub(e.statement.At), 0), maxAge)
	return &wirev1.EndpointLimit{
		Endpoint: e.id, StartedUnixMillis: e.startedMS, Limited: e.statement.Limited, PerSecond: e.statement.PerSecond,
		AgeMs: uint64(age.Milliseconds()),
	}
}

// Merge applies the limits that the process on vm reports.
func (l *Limiter) Merge(vm string, report []*wirev1.EndpointLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, limit := range report {
		l.merge(limit, vm)
	}
}

// merge applies a limit that another process knows, and returns its endpoint or nil if
// this process does not know it. l.mu must be held.
func (l *Limiter) merge(limit *wirev1.EndpointLimit, source string) *endpoint {
	e, ok := l.endpoints[limit.GetEndpoint()]
	if !ok || e.startedMS != limit.GetStartedUnixMillis() || !validRate(limit.GetPerSecond()) {
		return nil
	}
	now := l.now()
	age := time.Duration(min(limit.GetAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond
	statement := ratelimit.Statement{Limited: limit.GetLimited(), PerSecond: limit.GetPerSecond(), At: now.Add(-age)}
	if e.statement.Newer(statement) && e.statement.Limited != statement.Limited {
		l.correct(e, now)
	}
	l.apply(e, statement, source)
	return e
}

// correct reports the statement of an endpoint again, since another process has an older
// one. l.mu must be held.
func (l *Limiter) correct(e *endpoint, now time.Time) {
	e.changedAt = now
	if !e.statement.Limited {
		l.ended[e.id] = e
	}
}

// validRate reports whether a rate is a number of requests a second.
func validRate(perSecond float64) bool { return perSecond >= 0 && perSecond <= maxRate }

// Grant answers a process that asks for permits.
func (l *Limiter) Grant(request *wirev1.AcquireSendsRequest) *wirev1.AcquireSendsReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &wirev1.AcquireSendsReply{}
	e := l.merge(request.GetLimit(), request.GetVm())
	if e == nil {
		return reply
	}
	now := l.now()
	e.wantedAt = now
	reply.Limit = encode(e, now)
	if _, ok := l.limited[e.id]; !ok || e.share == 0 {
		return reply
	}
	reply.SharesLimit = true
	for range min(request.GetCount(), maxPermits) {
		if !e.ledger.Take(now, request.GetVm()) {
			break
		}
		reply.Granted++
	}
	reply.RetryInMs = uint32(e.ledger.RetryIn(now, request.GetVm()).Milliseconds())
	l.meter.Add(int64(reply.Granted), "limit", "granted")
	return reply
}
