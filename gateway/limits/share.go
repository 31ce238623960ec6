package limits

import (
	"context"
	"slices"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/core/ratelimit"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// updateInterval is the time between two checks of who shares out which limit.
	updateInterval = 100 * time.Millisecond
	// maxRanked is the number of VMs that may share out the limit of an endpoint, each
	// in place of those before it.
	maxRanked = 8
	// wantedWindow is how long after a process wanted more the processes that rank low
	// observe those before them.
	wantedWindow = 10 * time.Second
)

// Fleet is the list of entry processes and the connection to them.
type Fleet interface {
	// Rank returns the first n VMs in the order of their rank for key, which is the same
	// for all processes with the same list.
	Rank(key string, n int) []string
	// Generation changes whenever the list changes.
	Generation() uint64
	// SilentFor returns how long a VM has been silent, and 0 if this process does not
	// exchange states with it.
	SilentFor(vm string) time.Duration
	// Watch makes this process exchange states with VMs regularly, in addition to those
	// that it would call anyway, until the next call.
	Watch(vms map[string]bool)
	// AcquireSends asks the process on vm for permits.
	AcquireSends(ctx context.Context, vm string, request *wirev1.AcquireSendsRequest) (*wirev1.AcquireSendsReply, error)
}

// Run keeps the shares of this process up to date until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	clock.Every(ctx, updateInterval, l.update)
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
	if generation := l.fleet.Generation(); e.ranking == nil || e.generation != generation {
		e.ranking, e.generation = l.fleet.Rank(e.id, maxRanked), generation
	}
	rank := slices.Index(e.ranking, l.vm)
	if rank < 0 {
		l.setShare(e, 0)
		return
	}
	silences := make([]time.Duration, 0, rank)
	for _, vm := range e.ranking[:rank] {
		silences = append(silences, l.fleet.SilentFor(vm))
	}
	l.setShare(e, ratelimit.ShareToGrant(silences))
}

func (l *Limiter) setShare(e *endpoint, share float64) {
	e.ledger.SetRate(l.now(), share*e.statement.PerSecond)
	if share == e.share {
		return
	}
	e.share = share
	l.log(e, "The part of an endpoint's limit that this process shares out has changed.", "share", share, "per_second", e.statement.PerSecond, "ranking", e.ranking)
}

// toWatch returns the VMs whose silence decides whether this process shares out the
// limit of an endpoint. The first two always observe each other: a process that has just
// started may be unknown to the one in whose place it comes.
func (l *Limiter) toWatch(e *endpoint) []string {
	rank := slices.Index(e.ranking, l.vm)
	switch {
	case rank == 0:
		return e.ranking[1:min(2, len(e.ranking))]
	case rank == 1 || (rank > 1 && l.now().Sub(e.wantedAt) < wantedWindow):
		return e.ranking[:rank]
	default:
		return nil
	}
}
