package quotas

import (
	"context"
	"time"

	"flamingospar.org/core/quota"
	"flamingospar.org/gateway/ranking"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// relianceTTL is how long after its last question a process counts as one that relies on
	// this one, and relianceRetention how long it is known to have asked.
	relianceTTL       = 1500 * time.Millisecond
	relianceRetention = 8 * time.Second
	// endedTTL is how long a process counts as ended after it refused a connection.
	endedTTL = 2 * time.Second
	// probeInterval is the time between two calls to a process that may have ended.
	probeInterval = 1 * time.Second
)

// reliance is what is known of a process that asks this one in place of the owner. Its part
// of the quota is shared out here once the owner doesn't hear it any more.
type reliance struct {
	since  time.Time
	lastAt time.Time
}

// active reports whether the process's part of the quota is shared out here.
func (r *reliance) active(now time.Time) bool {
	return now.Sub(r.since) >= quota.SilenceTimeout && now.Sub(r.lastAt) <= relianceTTL
}

// rely notes that a process relies on this one.
func (t *team) rely(vm string, now time.Time) {
	if r, ok := t.reliances[vm]; ok {
		r.lastAt = now
		return
	}
	if t.reliances == nil {
		t.reliances = make(map[string]*reliance)
	}
	t.reliances[vm] = &reliance{since: now, lastAt: now}
}

// updateShare sets which part of a team's quota this process shares out. q.mu must be held.
func (q *Quotas) updateShare(t *team, now time.Time) {
	t.ranking.Update(q.fleet, t.name)
	before, ranked := t.ranking.Before(q.vm)
	ended := 0
	for _, vm := range before {
		if now.Before(q.endedUntil[vm]) {
			ended++
		}
	}
	listed := q.fleet.Size()
	owner := ranked && ended == len(before)
	share := 0.0
	if owner {
		share = quota.OwnerShare(q.heard, ended, listed)
	} else {
		share = quota.SubstituteShare(t.relying(now), listed)
	}
	q.setShare(t, owner, share, now)
}

// relying returns the number of processes whose part of the quota is shared out here, and
// forgets those that have not asked for long.
func (t *team) relying(now time.Time) int {
	active := 0
	for vm, r := range t.reliances {
		if now.Sub(r.lastAt) > relianceRetention {
			delete(t.reliances, vm)
		} else if r.active(now) {
			active++
		}
	}
	return active
}

func (q *Quotas) setShare(t *team, owner bool, share float64, now time.Time) {
	previous := t.share
	t.owner, t.share = owner, share
	t.ledger.Set(now, t.limit.Quota, q.tolerance(), share)
	if owner && now.Sub(t.ownerAt) > q.tolerance().Window {
		t.ledger.Start(now)
	}
	if owner {
		t.ownerAt = now
	}
	if share != previous && previous > 0 {
		q.log(t, "The part of a team's quota that this process shares out has changed.", now)
	}
}

// sharedAlone reports whether this process has been the owner of a team's quota for a
// window, without a pause. q.mu must be held.
func (q *Quotas) sharedAlone(t *team, now time.Time) bool {
	before, ranked := t.ranking.Before(q.vm)
	return ranked && len(before) == 0 && now.Sub(q.stableSince) >= max(stableTime, q.tolerance().Window)
}

// probe calls the processes that rank before this one, in whose place it shares out the quota
// of a team, to find out whether they have ended. q.mu must be held.
func (q *Quotas) probe(t *team, now time.Time) {
	before, ranked := t.ranking.Before(q.vm)
	if !ranked {
		return
	}
	for _, vm := range before {
		if now.Sub(q.probedAt[vm]) < probeInterval {
			continue
		}
		q.probedAt[vm] = now
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), ranking.CallTimeout)
			defer cancel()
			_, err := q.fleet.AcquireQuota(ctx, vm, &wirev1.AcquireQuotaRequest{Vm: q.vm})
			q.mu.Lock()
			defer q.mu.Unlock()
			q.noteWhetherEnded(vm, err, q.observeTime())
		}()
	}
}
