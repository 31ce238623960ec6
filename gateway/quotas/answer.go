package quotas

import (
	"time"

	"flamingospar.org/core/quota"
	"flamingospar.org/gateway/ranking"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// apply applies the answer of another process about a team. q.mu must be held.
func (q *Quotas) apply(t askedTeam, vm string, grant *wirev1.QuotaGrant, askedAt, now time.Time) {
	granted := grant.GetGranted()
	if !grant.GetSharesQuota() || !quota.ValidUnits(granted) {
		q.meter.Count("quota", "ask", "not_sharing")
		t.ranking.Skip(vm, now.Add(ranking.UnreachableBackoff))
		return
	}
	t.ranking.Skip(vm, now)
	delete(t.reliances, q.vm)
	if vm != t.grantedBy {
		t.grantedBy = vm
		t.grants.Expired(now)
	}
	t.grantedAt = now
	t.grants.Add(askedAt, granted)
	if granted < t.wanted {
		q.meter.Count("quota", "ask", "denied")
		t.deniedAt = now
		retryIn := time.Duration(grant.GetRetryInMs()) * time.Millisecond
		t.deniedLeft = min(t.wanted-granted, t.limit.Burst) - retryIn.Seconds()*t.limit.PerSecond
	}
	q.decideWaiting(t.team, vm, now)
	if granted < t.wanted && t.grants.Held(now) > t.expected {
		t.grants.Release(now, t.expected) // Others may have use for a part that is too small here.
		q.ask(vm, t.team, now)
	}
}

// decideWaiting decides the requests that the answer of a process is about, and others for
// which its grant has room. q.mu must be held.
func (q *Quotas) decideWaiting(t *team, vm string, now time.Time) {
	var left []*waiter
	for _, w := range t.waiting {
		if permit, ok := q.takeGranted(t, w.units, now); ok {
			w.decide(permit, nil)
		} else if w.asked || t.deniedBefore(now) {
			w.decide(q.refuse(t, t.retryIn(w.units, now), now))
		} else {
			left = append(left, w)
		}
	}
	t.waiting = left
	if len(left) > 0 {
		q.ask(vm, t, now)
	}
}
