// Package teamshare decides which teams have had more than their fair share of a service
// that is short of capacity. The share is max-min fair by prompt work, so that many small
// requests count like a few large ones. It is found among requests of the same priority:
// a team with urgent requests must not lose them to less urgent ones. A process adds up the
// work that it was asked for and that it admitted; it hears the sums of other processes.
//
// The package has no clock of its own; the time is passed in.
package teamshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"flamingospar.org/core/decay"
)

const (
	// HalfLife is the time in which sums lose half of their value.
	HalfLife = 4 * time.Second
	// MaxReported is the largest number of teams in a report.
	MaxReported = 32
	// maxReportAge is the age from which a report no longer counts: 1/16 of it is left.
	maxReportAge = 4 * HalfLife
	// minShortage is the share of the asked work that must not have been admitted for a
	// class to be short of capacity. Single refusals happen without a shortage, for
	// example when an endpoint fails.
	minShortage = 0.02
	// overTolerance is the part of the fair level by which a team may exceed it. The team
	// with most demand is always close to the level; without a tolerance it is over its
	// share for the least shortfall of others, and gets much less than they leave.
	overTolerance = 0.1
	// minWork is the sum in prompt tokens below which a team is no longer kept.
	minWork = 1.0
	// maxWork is the largest sum in prompt tokens that a report may state.
	maxWork = 1e9
	// levelInterval is the time for which a fair level is used before it is computed again.
	levelInterval = 250 * time.Millisecond
)

// Class is the requests of one priority at a service. Teams share what a class gets.
type Class struct {
	Service  string
	Priority int // 0 first.
}

// Demand is the work of a team in a class, in prompt tokens.
type Demand struct {
	Class
	Team     string
	Asked    float64
	Admitted float64 // Sent to endpoints to be in time.
}

// Valid reports whether a demand can be that of a process.
func (d Demand) Valid() bool {
	return d.Asked >= 0 && d.Asked <= maxWork && d.Admitted >= 0 && d.Admitted <= d.Asked
}

// Standing states whether a team is over its share of a class, and why.
type Standing struct {
	Over     bool
	Asked    float64 // Work of the team at all known processes.
	Admitted float64
	Level    float64 // The fair level; infinite without a shortage.
	Shortage float64 // Part of the work asked by all teams that was not admitted.
	Reports  int     // Number of other processes whose reports count.
	// OldestReport is the age of the oldest of these reports.
	OldestReport time.Duration
}

// sums are the decaying sums of one team, as of a time.
type sums struct {
	asked, admitted float64
	at              time.Time
}

// add adds the work of a request.
func (s *sums) add(now time.Time, work float64, admitted bool) {
	s.decayTo(now)
	s.asked += work
	if admitted {
		s.admitted = min(s.admitted+work, s.asked)
	}
}

func (s *sums) decayTo(now time.Time) {
	if !now.After(s.at) {
		return
	}
	left := decay.Remaining(now.Sub(s.at), HalfLife)
	s.asked, s.admitted, s.at = s.asked*left, s.admitted*left, now
}

// report is what another process last reported.
type report struct {
	demands []Demand
	short   map[Class]bool // Classes that are short of capacity there.
	at      time.Time
}

// classDemand is what is known of a class.
type classDemand struct {
	own    map[string]*sums // By team.
	ownAll sums             // Of all teams.
	totals totals
}

// Shares knows the demand of teams. It is not safe for concurrent use.
type Shares struct {
	classes map[Class]*classDemand
	peers   map[string]report // By process.
}

// New returns shares without any demand.
func New() *Shares {
	return &Shares{classes: make(map[Class]*classDemand), peers: make(map[string]report)}
}

// Record adds the work of a request of a team to what is asked, and to what is admitted if
// it is sent to be in time. Work that is no positive number, or above maxWork, is ignored.
func (s *Shares) Record(now time.Time, class Class, team string, work float64, admitted bool) {
	if !(work > 0 && work <= maxWork) {
		return
	}
	known := s.class(class)
	known.of(team, now).add(now, work, admitted)
	known.ownAll.add(now, work, admitted)
}

func (s *Shares) class(class Class) *classDemand {
	known, ok := s.classes[class]
	if !ok {
		known = &classDemand{own: make(map[string]*sums)}
		s.classes[class] = known
	}
	return known
}

func (d *classDemand) of(team string, now time.Time) *sums {
	known, ok := d.own[team]
	if !ok {
		known = &sums{at: now}
		d.own[team] = known
	}
	return known
}

// SetPeer replaces what another process last reported. Invalid demands and those beyond
// MaxReported are ignored. A report without demands changes nothing.
func (s *Shares) SetPeer(now time.Time, peer string, demands []Demand) {
	if len(demands) == 0 {
		return
	}
	valid := make([]Demand, 0, min(len(demands), MaxReported))
	for _, demand := range demands[:min(len(demands), MaxReported)] {
		if demand.Valid() {
			valid = append(valid, demand)
		}
	}
	s.peers[peer] = report{demands: valid, short: shortClasses(valid), at: now}
}

// DropPeer removes what another process reported.
func (s *Shares) DropPeer(peer string) { delete(s.peers, peer) }

// shortClasses returns the classes in which a process that reports demands is short of
// capacity.
func shortClasses(demands []Demand) map[Class]bool {
	all := make(map[Class]sums)
	for _, demand := range demands {
		sum := all[demand.Class]
		all[demand.Class] = sums{asked: sum.asked + demand.Asked, admitted: sum.admitted + demand.Admitted}
	}
	short := make(map[Class]bool)
	for class, sum := range all {
		short[class] = isShort(sum.asked, sum.admitted)
	}
	return short
}

// Over returns the standing of a team in a class. If no process is known to be short of
// capacity, only the level is set: then all processes together aren't either.
func (s *Shares) Over(now time.Time, class Class, team string) Standing {
	known := s.class(class)
	if !s.knownShort(now, class, known) {
		return Standing{Level: math.Inf(1)}
	}
	if age := now.Sub(known.totals.at); age < 0 || age >= levelInterval || known.totals.teams == nil {
		known.totals = s.sumUp(now, class, known)
	}
	return known.totals.standing(now, team)
}

// sumUp adds up the demand of all processes in a class.
func (s *Shares) sumUp(now time.Time, class Class, known *classDemand) totals {
	t := totals{at: now, teams: make(map[string]Demand, len(known.own))}
	for team, own := range known.own {
		own.decayTo(now)
		t.addDemand(team, own.asked, own.admitted)
	}
	for _, reported := range s.peers {
		age := max(now.Sub(reported.at), 0)
		if age > maxReportAge {
			continue
		}
		left, counts := decay.Remaining(age, HalfLife), false
		for _, demand := range reported.demands {
			if demand.Class == class {
				t.addDemand(demand.Team, demand.Asked*left, demand.Admitted*left)
				counts = true
			}
		}
		if counts {
			t.reports++
			t.oldest = max(t.oldest, age)
		}
	}
	t.level = t.fairLevel()
	return t
}

// Report returns what to tell other processes: the demand of this process alone, of the
// teams with most of it, in classes that are short of capacity here or at another process.
// Nothing is told of other classes, since no team is over its share there.
func (s *Shares) Report(now time.Time) []Demand {
	var demands []Demand
	for class, known := range s.classes {
		if !s.knownShort(now, class, known) {
			continue
		}
		for team, own := range known.own {
			own.decayTo(now)
			demands = append(demands, Demand{Class: class, Team: team, Asked: min(own.asked, maxWork), Admitted: min(own.admitted, maxWork)})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
	})
	return demands[:min(len(demands), MaxReported)]
}

// knownShort reports whether a class is short of capacity by the counts of this process,
// or by those of another one alone.
func (s *Shares) knownShort(now time.Time, class Class, known *classDemand) bool {
	if isShort(known.ownAll.asked, known.ownAll.admitted) {
		return true
	}
	for _, reported := range s.peers {
		if reported.short[class] && now.Sub(reported.at) <= maxReportAge {
			return true
		}
	}
	return false
}

// Prune drops teams and processes that have not been seen for a time.
func (s *Shares) Prune(now time.Time) {
	for class, known := range s.classes {
		for team, own := range known.own {
			own.decayTo(now)
			if own.asked < minWork {
				delete(known.own, team)
			}
		}
		if len(known.own) == 0 {
			delete(s.classes, class)
		}
	}
	for peer, reported := range s.peers {
		if now.Sub(reported.at) > maxReportAge {
			delete(s.peers, peer)
		}
	}
}

// Teams returns the number of teams that this process has seen recently, by class.
func (s *Shares) Teams() int {
	teams := 0
	for _, known := range s.classes {
		teams += len(known.own)
	}
	return teams
}
