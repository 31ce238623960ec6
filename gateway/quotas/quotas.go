// Package quotas keeps to the quotas of teams that hold for all processes together.
//
// For each team one process, the owner, which all processes find by ranking the list of VMs,
// shares out the quota. The others ask it for units when what they were granted does not
// suffice. Waiting requests share one call, which carries the demands of several teams. A
// process that does not get an answer in time asks the next in the ranking, and decides by
// its own part of the quota if none answers. A team without a quota has no state here.
package quotas

import (
	"context"
	"sync"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/quota"
	"flamingospar.org/gateway/ranking"
	"flamingospar.org/platform/site"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// pauseThreshold is the time between two checks above which this process counts as
	// paused: others may have granted in its place.
	pauseThreshold = 1 * time.Second
	// stableTime is for how long the list of processes must not have changed, nor this
	// process been paused, for a new ledger to start full: whoever granted before has done so
	// a window ago.
	stableTime = 10 * time.Second
	// idleRetention and ledgerRetention are how long the state of a team is kept that has no
	// requests here, and that this process shares out.
	idleRetention   = 10 * time.Second
	ledgerRetention = 60 * time.Second
)

// Fleet is the list of entry processes and the connection to them.
type Fleet interface {
	ranking.Fleet
	// Size returns the number of listed processes, this one included.
	Size() int
	// HeardShare returns the part of the listed processes, this one included, that this
	// process hears, estimated from those that it exchanges states with: one counts as not
	// heard after a silence of timeout, or longer if it exchanges states more rarely.
	HeardShare(timeout time.Duration) float64
	// AcquireQuota asks the process on vm for units.
	AcquireQuota(ctx context.Context, vm string, request *wirev1.AcquireQuotaRequest) (*wirev1.AcquireQuotaReply, error)
}

// Limit is the quota of a team and the version of the configuration that states it.
type Limit struct {
	quota.Quota
	Version int64
}

// NewLimit returns the limit that a version of the configuration sets.
func NewLimit(q site.Quota, version int64) Limit {
	return Limit{Quota: quota.Quota{PerSecond: q.PerSecond, Burst: q.Burst}, Version: version}
}

// Quotas decides which requests of teams with a quota may be passed on. It is safe for
// concurrent use.
type Quotas struct {
	// Configured returns the quota of a team in the configuration in force. The quota is
	// zero for a team without one, and the limit for no configuration.
	Configured func(team string) Limit

	vm        string // Of this process.
	fleet     Fleet
	meter     *meter.Registry
	now       func() time.Time
	lines     logging.LineBudget
	tolerance func() quota.Tolerance

	mu          sync.Mutex
	teams       map[string]*team
	calls       map[string]*call     // Calls under way and what waits for the next one, by VM.
	endedUntil  map[string]time.Time // Until when a process counts as ended, by VM.
	probedAt    map[string]time.Time // When a process was last called to find out whether it has ended, by VM.
	heard       float64              // Part of the processes that is heard.
	updatedAt   time.Time
	generation  uint64 // Of the list of processes.
	stableSince time.Time
}

// team is what this process knows of the quota of one team.
type team struct {
	name    string
	limit   Limit
	ranking ranking.Ranking
	usedAt  time.Time

	// As a process that asks.
	demand     quota.Demand
	expected   float64 // Units that this process is likely to need within advanceTime.
	grants     quota.Grants
	grantedBy  string // VM whose grants are held.
	grantedAt  time.Time
	waiting    []*waiter // In the order of their arrival.
	deniedAt   time.Time // When a question was last answered with less than was wanted.
	deniedLeft float64   // Estimate of the units that the owner had then.

	// As a process that shares out a part of the quota.
	ledger    quota.Ledger
	owner     bool      // In place of all; otherwise for the processes that rely on this one.
	ownerAt   time.Time // When it last was.
	share     float64
	reliances map[string]*reliance // By VM; nil without one.
	grantAt   time.Time            // When another process last asked.

	refusedAt time.Time
	limited   bool // It was refused something within limitedTime.
}

// New returns the quotas of the process on vm. tolerance returns the one in force.
func New(vm string, fleet Fleet, metrics *meter.Registry, now func() time.Time, tolerance func() quota.Tolerance) *Quotas {
	started := now()
	return &Quotas{
		Configured: func(string) Limit { return Limit{} },
		vm:         vm, fleet: fleet, meter: metrics, now: now, tolerance: tolerance,
		teams: make(map[string]*team), calls: make(map[string]*call), endedUntil: make(map[string]time.Time), probedAt: make(map[string]time.Time),
		heard: 1, updatedAt: started, stableSince: started,
	}
}

// Run keeps the shares of this process up to date until ctx ends.
func (q *Quotas) Run(ctx context.Context) {
	clock.Every(ctx, ranking.UpdateInterval, q.update)
}

// update brings the shares of all teams up to date, and drops those that are idle.
func (q *Quotas) update() {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.observeTime()
	q.updatedAt = now
	q.heard = q.fleet.HeardShare(quota.SilenceTimeout)
	for name, t := range q.teams {
		q.updateShare(t, now)
		q.updateLimited(t, now)
		q.returnExpired(t, now)
		retention := idleRetention
		if t.owner {
			retention = ledgerRetention
		}
		if len(t.waiting) == 0 && now.Sub(t.usedAt) > retention && now.Sub(t.grantAt) > retention {
			delete(q.teams, name)
		}
	}
}

// observeTime returns the time, and notes a pause of this process and a change of the list. It
// comes first in each entry point. q.mu must be held.
func (q *Quotas) observeTime() time.Time {
	now := q.now()
	paused := now.Sub(q.updatedAt) > pauseThreshold
	if paused {
		q.updatedAt = now
		q.meter.Count("quota", "paused")
		for _, t := range q.teams {
			t.ledger.Resume(now)
		}
	}
	if generation := q.fleet.Generation(); paused || generation != q.generation {
		q.generation = generation
		q.stableSince = now
	}
	return now
}

// team returns the state of a team. q.mu must be held.
func (q *Quotas) team(name string, limit Limit, now time.Time) *team {
	t, ok := q.teams[name]
	if ok && limit.Version >= t.limit.Version && limit != t.limit {
		t.limit = limit
		q.updateShare(t, now)
	}
	if ok {
		return t
	}
	t = &team{name: name, limit: limit}
	q.teams[name] = t
	q.updateShare(t, now)
	if q.sharedAlone(t, now) {
		t.ledger.Fill(now)
	}
	return t
}

// Gauges returns the number of teams with state here, of those whose quota this process
// shares out, and of those that are limited now, by name of the metric.
func (q *Quotas) Gauges() map[string]int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	gauges := map[string]int64{"known": int64(len(q.teams)), "owned": 0, "limited": 0}
	for _, t := range q.teams {
		if t.owner {
			gauges["owned"]++
		}
		if t.limited {
			gauges["limited"]++
		}
	}
	return gauges
}
