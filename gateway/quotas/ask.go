package quotas

import (
	"context"
	"errors"
	"syscall"
	"time"

	"flamingospar.org/gateway/ranking"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// maxDemands bounds the demands of one call.
const maxDemands = 256

// askedTeam is a team whose demand a call carries.
type askedTeam struct {
	*team
	wanted float64
}

// call is a call to another process, and the teams whose demands wait for the next one.
type call struct {
	underWay bool
	pending  map[*team]bool
}

// ask makes the next call to a process carry the demand of a team, and makes it unless one is
// under way. q.mu must be held.
func (q *Quotas) ask(vm string, t *team, now time.Time) {
	c, ok := q.calls[vm]
	if !ok {
		c = &call{pending: make(map[*team]bool)}
		q.calls[vm] = c
	}
	c.pending[t] = true
	if !c.underWay {
		q.startCall(vm, c, now)
	}
}

// prefetch asks for units that are likely to be needed soon, while no request waits. q.mu
// must be held.
func (q *Quotas) prefetch(t *team, now time.Time) {
	if t.grants.Held(now) >= prefetchLevel*t.expected || t.deniedBefore(now) {
		return
	}
	if vm := t.ranking.ToAsk(now, q.vm); vm != "" {
		q.ask(vm, t, now)
	}
}

// returnExpired returns the units of a limited team that have expired here: others may have
// use for them before this process asks again. q.mu must be held.
func (q *Quotas) returnExpired(t *team, now time.Time) {
	if !t.limited || !t.grants.MustReturn(now) {
		return
	}
	if vm := t.ranking.ToAsk(now, q.vm); vm == t.grantedBy {
		q.ask(vm, t, now)
	}
}

// startCall makes the call that carries the demands that wait for it. q.mu must be held.
func (q *Quotas) startCall(vm string, c *call, now time.Time) {
	request := &wirev1.AcquireQuotaRequest{Vm: q.vm}
	asked := make(map[string]askedTeam)
	for t := range c.pending {
		if len(asked) == maxDemands {
			break
		}
		delete(c.pending, t)
		demand := q.demand(t, vm, now)
		request.Demands = append(request.Demands, demand)
		asked[t.name] = askedTeam{team: t, wanted: demand.GetWanted()}
	}
	c.underWay = true
	q.meter.Count("quota", "ask", "calls")
	go q.callProcess(vm, c, request, asked, now)
}

// demand returns what this process wants of a team's quota. q.mu must be held.
func (q *Quotas) demand(t *team, vm string, now time.Time) *wirev1.QuotaDemand {
	held := t.grants.Held(now)
	returned := t.grants.Expired(now)
	if vm != t.grantedBy {
		returned = 0 // This one did not grant them.
	}
	waiting := t.askWaiting()
	expected := 0.0
	if !t.deniedBefore(now) && now.Sub(t.usedAt) < advanceTime {
		expected = max(t.expected-max(held-waiting, 0), 0)
	}
	return &wirev1.QuotaDemand{
		Team: t.name, ConfigurationVersion: t.limit.Version, PerSecond: t.limit.PerSecond, Burst: t.limit.Burst,
		Wanted: max(waiting-held, 0), Expected: expected, Returned: returned,
	}
}

// askWaiting marks the requests whose units the next call carries, and returns the sum of
// those. A request that would make it exceed the burst waits for another call, unless it is
// the first: a ledger that is full grants a larger request as a whole.
func (t *team) askWaiting() float64 {
	sum := 0.0
	for _, w := range t.waiting {
		if sum > 0 && sum+w.units > t.limit.Burst {
			break
		}
		w.asked = true
		sum += w.units
	}
	return sum
}

// callProcess calls the process on vm and applies its answer.
func (q *Quotas) callProcess(vm string, c *call, request *wirev1.AcquireQuotaRequest, asked map[string]askedTeam, askedAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), ranking.CallTimeout)
	defer cancel()
	reply, err := q.fleet.AcquireQuota(ctx, vm, request)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.observeTime()
	q.noteWhetherEnded(vm, err, now)
	if err != nil {
		q.noteFailed(vm, len(asked), err)
		for t := range c.pending {
			asked[t.name] = askedTeam{team: t}
		}
		clear(c.pending)
		q.askOthers(vm, asked, now)
	}
	for _, grant := range reply.GetGrants() {
		if t, ok := asked[grant.GetTeam()]; ok {
			q.apply(t, vm, grant, askedAt, now)
		}
	}
	c.underWay = false
	if len(c.pending) > 0 {
		q.startCall(vm, c, now)
	} else {
		delete(q.calls, vm)
	}
}

// noteWhetherEnded notes whether a process has ended, by the result of a call to it. q.mu must be
// held.
func (q *Quotas) noteWhetherEnded(vm string, err error, now time.Time) {
	switch {
	case err == nil:
		delete(q.endedUntil, vm)
	case errors.Is(err, syscall.ECONNREFUSED):
		q.endedUntil[vm] = now.Add(endedTTL)
	}
}

// askOthers asks the next process in the ranking of each team after a call has failed. q.mu
// must be held.
func (q *Quotas) askOthers(vm string, asked map[string]askedTeam, now time.Time) {
	for _, t := range asked {
		t.ranking.Skip(vm, now.Add(ranking.UnreachableBackoff))
		q.updateShare(t.team, now)
		if len(t.waiting) == 0 {
			continue
		}
		if next := t.ranking.ToAsk(now, q.vm); next != "" {
			for _, w := range t.waiting {
				w.asked = false
			}
			q.ask(next, t.team, now)
			continue
		}
		for _, w := range t.waiting {
			w.decide(q.takeAlone(t.team, w.units, now))
		}
		t.waiting = nil
	}
}
