package limits

import (
	"context"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/ratelimit"
	"flamingospar.org/gateway/ranking"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// wantedWindow is how long after a process wanted more the processes that rank low observe
// those before them.
const wantedWindow = 10 * time.Second

// Fleet is the list of entry processes and the connection to them.
type Fleet interface {
	ranking.Fleet
	// Watch makes this process exchange states with VMs regularly, in addition to those
	// that it would call anyway, until the next call.
	Watch(vms map[string]bool)
	// AcquireSends asks the process on vm for permits.
	AcquireSends(ctx context.Context, vm string, request *wirev1.AcquireSendsRequest) (*wirev1.AcquireSendsReply, error)
}

// Run keeps the shares of this process up to date until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	clock.Every(ctx, ranking.UpdateInterval, l.update)
}

// update brings the shares of all limits up to date, and drops old statements.
func (l *Limiter) update() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	watched := make(map[string]bool)
	for _, e := range l.limited {
		l.updateShare(e)
		for _, vm := range l.toWatch(e) {
			watched[vm] = true
		}
	}
	l.fleet.Watch(watched)
}

// prune drops statements that are no longer needed. l.mu must be held.
func (l *Limiter) prune() {
	now := l.now()
	for id, e := range l.ended {
		if now.Sub(e.changedAt) > endedRetention {
			delete(l.ended, id)
		}
	}
	for peer, at := range l.sentTo {
		if now.Sub(at) > peerRetention {
			delete(l.sentTo, peer)
			delete(l.reported, peer)
		}
	}
	for id, e := range l.endpoints {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneRetention {
			delete(l.endpoints, id)
		}
	}
}

// updateShare sets which part of an endpoint's rate this process shares out. l.mu must
// be held.
func (l *Limiter) updateShare(e *endpoint) {
	e.ranking.Update(l.fleet, e.id)
	silences, ranked := e.ranking.Silences(l.fleet, l.vm)
	if !ranked {
		l.setShare(e, 0)
		return
	}
	l.setShare(e, ratelimit.ShareToGrant(silences))
}

func (l *Limiter) setShare(e *endpoint, share float64) {
	e.ledger.SetRate(l.now(), share*e.statement.PerSecond)
	if share == e.share {
		return
	}
	e.share = share
	l.log(e, "The part of an endpoint's limit that this process shares out has changed.", "share", share, "per_second", e.statement.PerSecond, "ranking", e.ranking.VMs)
}

// toWatch returns the VMs whose silence decides whether this process shares out the
// limit of an endpoint. The first two always observe each other: a process that has just
// started may be unknown to the one in whose place it comes.
func (l *Limiter) toWatch(e *endpoint) []string {
	before, ranked := e.ranking.Before(l.vm)
	switch {
	case ranked && len(before) == 0:
		return e.ranking.VMs[1:min(2, len(e.ranking.VMs))]
	case len(before) == 1 || (len(before) > 1 && l.now().Sub(e.wantedAt) < wantedWindow):
		return before
	default:
		return nil
	}
}
