// Package shares knows which teams have had more than their share of a service that is
// short of capacity, by what callers asked this process and others for.
package shares

import (
	"maps"
	"math"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/teamshare"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

var log = logging.For("gateway/shares")

const (
	// reportInterval is the shortest time between two reports to a process.
	reportInterval = 500 * time.Millisecond
	// reviewInterval is the time between two checks of all teams that were over their
	// share, so that the end is noticed for those that ask for nothing more.
	reviewInterval = 1 * time.Second
	// maxLinesPerSec bounds the lines of each kind.
	maxLinesPerSec = 10
	// classBegan and classCeased are the kinds of lines, and the names of their counters.
	classBegan  = "began"
	classCeased = "ceased"
)

// Tracker knows the demand of teams at services. It is safe for concurrent use. A nil
// Tracker counts nothing and finds no team over its share.
type Tracker struct {
	meter *meter.Registry
	now   func() time.Time
	lines logging.LineBudget

	mu         sync.Mutex
	shares     *teamshare.Shares
	over       map[team]bool        // Teams that were over their share when last looked at.
	report     report               // What other processes are told.
	reportedAt map[string]time.Time // Time of the last report, by process.
	reviewedAt time.Time
}

// report is the demand of this process as of a time.
type report struct {
	demands []*wirev1.TeamDemand
	at      time.Time
}

// team is a team in a class of requests.
type team struct {
	teamshare.Class
	name string
}

// New returns a tracker that has seen no demand.
func New(metrics *meter.Registry, now func() time.Time) *Tracker {
	return &Tracker{meter: metrics, now: now, shares: teamshare.New(), over: make(map[team]bool), reportedAt: make(map[string]time.Time)}
}

// Over reports whether a team is over its share of a class of requests.
func (t *Tracker) Over(class teamshare.Class, name string) bool {
	if t == nil || name == "" {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.review(now)
	over := t.check(now, team{class, name})
	if over {
		t.meter.Count("team_shares", "requests_over")
	}
	return over
}

// Record counts the work of a request of a team, and whether it was admitted: sent to an
// endpoint to be in time. Requests without a team are not counted.
func (t *Tracker) Record(class teamshare.Class, name string, work float64, admitted bool) {
	if t == nil || name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.Record(t.now(), class, name, work, admitted)
}

// check looks up the standing of a team and logs a change. t.mu must be held.
func (t *Tracker) check(now time.Time, who team) bool {
	standing := t.shares.Over(now, who.Class, who.name)
	if standing.Over == t.over[who] {
		return standing.Over
	}
	if standing.Over {
		t.over[who] = true
		t.meter.Count("team_shares", classBegan)
		t.log(classBegan, "A team is over its share of a service.", who, standing)
		return true
	}
	delete(t.over, who)
	t.meter.Count("team_shares", classCeased)
	t.log(classCeased, "A team is no longer over its share of a service.", who, standing)
	return false
}

// review checks the teams that were over their share, and drops what was not seen
// recently. t.mu must be held.
func (t *Tracker) review(now time.Time) {
	if age := now.Sub(t.reviewedAt); age >= 0 && age < reviewInterval {
		return
	}
	t.reviewedAt = now
	for who := range t.over {
		t.check(now, who)
	}
	t.shares.Prune(now)
	maps.DeleteFunc(t.reportedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= reviewInterval })
}

// log writes a line about a team unless there were too many in this second. t.mu must be
// held.
func (t *Tracker) log(class, message string, who team, standing teamshare.Standing) {
	ok, omitted := t.lines.Allow(class, maxLinesPerSec)
	if !ok {
		return
	}
	fields := []any{"team", who.name, "service", who.Service, "priority", who.Priority, "lines_omitted", omitted}
	if !math.IsInf(standing.Level, 1) {
		fields = append(fields, "asked", int64(standing.Asked), "admitted", int64(standing.Admitted), "fair_level", int64(standing.Level),
			"shortage_percent", int64(100*standing.Shortage), "processes_reported", standing.Reports, "oldest_report_ms", standing.OldestReport.Milliseconds())
	}
	log.Info(message, fields...)
}

// Report returns the demand to report to the process on VM peer, nil if it is not due.
func (t *Tracker) Report(peer string) []*wirev1.TeamDemand {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.review(now)
	if now.Sub(t.reportedAt[peer]) < reportInterval {
		return nil
	}
	report := t.currentReport(now)
	if len(report) > 0 {
		t.reportedAt[peer] = now
		t.meter.Count("team_shares", "reports_sent")
	}
	return report
}

// currentReport returns the demand to report to any process. While capacity is short, it is
// the same for a time: to find the teams with most demand takes time for each team. t.mu
// must be held.
func (t *Tracker) currentReport(now time.Time) []*wirev1.TeamDemand {
	if age := now.Sub(t.report.at); len(t.report.demands) > 0 && age >= 0 && age < reportInterval {
		return t.report.demands
	}
	t.report = report{at: now}
	for _, demand := range t.shares.Report(now) {
		t.report.demands = append(t.report.demands, &wirev1.TeamDemand{
			Service: demand.Service, Priority: uint32(demand.Priority), Team: demand.Team, Asked: float32(demand.Asked), Admitted: float32(demand.Admitted),
		})
	}
	return t.report.demands
}

// Merge applies the demand that the process on VM peer reports.
func (t *Tracker) Merge(peer string, report []*wirev1.TeamDemand) {
	if t == nil || len(report) == 0 {
		return
	}
	demands := make([]teamshare.Demand, 0, teamshare.MaxReported)
	for _, reported := range report[:min(len(report), teamshare.MaxReported)] {
		demand := teamshare.Demand{
			Class: teamshare.Class{Service: reported.GetService(), Priority: int(reported.GetPriority())}, Team: reported.GetTeam(),
			Asked: float64(reported.GetAsked()), Admitted: float64(reported.GetAdmitted()),
		}
		if !demand.Valid() || demand.Team == "" {
			t.meter.Count("team_shares", "reports_invalid")
			continue
		}
		demands = append(demands, demand)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.SetPeer(t.now(), peer, demands)
}

// DropPeer forgets what the process on VM peer has reported.
func (t *Tracker) DropPeer(peer string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.DropPeer(peer)
	delete(t.reportedAt, peer)
}

// Gauges returns the number of teams that are over their share and of those seen recently.
func (t *Tracker) Gauges() (over, seen int) {
	if t == nil {
		return 0, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.review(t.now())
	return len(t.over), t.shares.Teams()
}
