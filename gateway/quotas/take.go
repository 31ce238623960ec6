package quotas

import (
	"context"
	"time"

	"flamingospar.org/core/quota"
)

const (
	// maxWait bounds the time that a request waits for a call to another process.
	maxWait = 150 * time.Millisecond
	// advanceTime is the time whose expected requests a grant covers.
	advanceTime = 500 * time.Millisecond
	// prefetchLevel is the part of the units expected within advanceTime below which more are
	// asked for while no request waits.
	prefetchLevel = 0.5
	// deniedBackoff is how long after it was granted less than it wanted a process does not
	// ask again.
	deniedBackoff = 100 * time.Millisecond
	// lateRetryIn bounds the time after which a request is told to come back that waited in
	// vain: a call that is late brings its units within ranking.CallTimeout, and they expire soon.
	lateRetryIn = 300 * time.Millisecond
	// minRetryIn is the shortest time after which a refused request is told to come back.
	minRetryIn = 10 * time.Millisecond
)

// Refusal says that a request exceeds the quota of its team.
type Refusal struct {
	RetryIn time.Duration // Until there is room for the request, as far as it is known.
}

// Permit holds the units of a request. The zero Permit holds none.
type Permit struct {
	quotas *Quotas
	team   *team
	units  float64
	expiry time.Time // Of granted units; zero for those of this process's own ledger.
}

// waiter is a request that waits for an answer of another process.
type waiter struct {
	units   float64
	asked   bool          // The call under way carries its units.
	decided chan struct{} // Closed when the request is decided.
	permit  Permit
	refusal *Refusal
}

func (w *waiter) decide(permit Permit, refusal *Refusal) {
	w.permit, w.refusal = permit, refusal
	close(w.decided)
}

// Take takes the units of a request of a team, or refuses it. It may wait for another
// process for up to maxWait.
func (q *Quotas) Take(ctx context.Context, name string, limit Limit, units float64) (Permit, *Refusal) {
	if !limit.Valid() || units <= 0 {
		return Permit{}, nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.observeTime()
	t := q.team(name, limit, now)
	t.usedAt = now
	t.expected = t.expectedUnits(now)
	t.demand.Add(now, units)
	if t.owner {
		q.probe(t, now)
		return q.takeOwn(t, units, now)
	}
	if permit, ok := q.takeGranted(t, units, now); ok {
		q.prefetch(t, now)
		return permit, nil
	}
	if t.deniedBefore(now) {
		return q.refuse(t, t.retryIn(units, now), now)
	}
	return q.await(ctx, t, &waiter{units: units, decided: make(chan struct{})}, now)
}

// expectedUnits returns the units that this process is likely to need within advanceTime, at
// most what the quota allows in that time.
func (t *team) expectedUnits(now time.Time) float64 {
	return min(t.demand.Within(now, advanceTime), t.limit.PerSecond*advanceTime.Seconds())
}

// takeGranted takes units that were granted by another process. q.mu must be held.
func (q *Quotas) takeGranted(t *team, units float64, now time.Time) (Permit, bool) {
	expiry, ok := t.grants.Take(now, units)
	if !ok {
		return Permit{}, false
	}
	q.meter.Count("quota", "admitted")
	return Permit{quotas: q, team: t, units: units, expiry: expiry}, true
}

// takeOwn takes units of the ledger of this process. q.mu must be held.
func (q *Quotas) takeOwn(t *team, units float64, now time.Time) (Permit, *Refusal) {
	if !t.ledger.Take(now, units) {
		return q.refuse(t, t.ledger.RetryIn(now, units), now)
	}
	q.meter.Count("quota", "admitted")
	return Permit{quotas: q, team: t, units: units}, nil
}

// takeAlone decides a request while no other process answers: this process relies on itself.
// q.mu must be held.
func (q *Quotas) takeAlone(t *team, units float64, now time.Time) (Permit, *Refusal) {
	t.rely(q.vm, now)
	q.updateShare(t, now)
	q.meter.Count("quota", "alone")
	return q.takeOwn(t, units, now)
}

// refuse refuses a request. q.mu must be held.
func (q *Quotas) refuse(t *team, retryIn time.Duration, now time.Time) (Permit, *Refusal) {
	q.meter.Count("quota", "refused")
	t.refusedAt = now
	if !t.limited {
		t.limited = true
		q.log(t, "A team is limited by its quota.", now)
	}
	return Permit{}, &Refusal{RetryIn: max(retryIn, minRetryIn)}
}

// deniedBefore reports whether another process granted less than was wanted a short time ago.
func (t *team) deniedBefore(now time.Time) bool { return now.Sub(t.deniedAt) < deniedBackoff }

// retryIn estimates when the owner has room for a request, from its last answer.
func (t *team) retryIn(units float64, now time.Time) time.Duration {
	left := t.deniedLeft + now.Sub(t.deniedAt).Seconds()*t.limit.PerSecond
	missing := min(units, t.limit.Burst) - left
	return time.Duration(min(max(missing/t.limit.PerSecond, 0), quota.MaxRetryIn.Seconds()) * float64(time.Second))
}

// await asks another process for the units of a request and waits until it is decided. q.mu
// must be held; it is released meanwhile.
func (q *Quotas) await(ctx context.Context, t *team, w *waiter, now time.Time) (Permit, *Refusal) {
	vm := t.ranking.ToAsk(now, q.vm)
	if vm == "" {
		return q.takeAlone(t, w.units, now)
	}
	t.waiting = append(t.waiting, w)
	q.ask(vm, t, now)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	q.mu.Unlock()
	select {
	case <-w.decided:
	case <-ctx.Done():
	case <-timeout.C:
	}
	q.mu.Lock()
	if !t.remove(w) {
		return w.permit, w.refusal
	}
	if ctx.Err() != nil {
		return Permit{}, &Refusal{RetryIn: minRetryIn} // Its caller has left.
	}
	q.meter.Count("quota", "ask", "late")
	permit, refusal := q.takeAlone(t, w.units, q.observeTime())
	if refusal != nil {
		refusal.RetryIn = min(refusal.RetryIn, lateRetryIn)
	}
	return permit, refusal
}

// remove removes a request that is not decided, and reports whether it was not.
func (t *team) remove(w *waiter) bool {
	for i, other := range t.waiting {
		if other == w {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// GiveBack returns the units of a request that did not run. It must be called only once.
func (p Permit) GiveBack() {
	if p.quotas == nil {
		return
	}
	p.quotas.mu.Lock()
	defer p.quotas.mu.Unlock()
	p.quotas.meter.Count("quota", "given_back")
	if p.expiry.IsZero() {
		p.team.ledger.GiveBack(p.quotas.now(), p.units)
		return
	}
	p.team.grants.GiveBack(p.units, p.expiry)
}
