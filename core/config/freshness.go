package config

import (
	"sort"
	"time"
)

// A process refuses new work when its latest evidence that its configuration is
// current reaches this age.
const (
	EntryMaxStaleness = 5 * time.Second
	// AgentMaxStaleness is longer than EntryMaxStaleness, because an agent gets
	// its evidence from an entry, with the next status call.
	AgentMaxStaleness = 10 * time.Second
)

// PeerReport is another entry's answer about its configuration.
type PeerReport struct {
	Entry    string // Address from the list of VMs.
	Revision Revision
	Asked    time.Time // When the request was about to be sent, by the requester's clock.
	// Proved is set when the entry itself had evidence, of age Age when it
	// answered.
	Proved bool
	Age    time.Duration
	// Remembers is set when the entry counts towards a majority.
	Remembers bool
}

// Freshness tracks how recently the revision that an entry holds was known to be
// current. Evidence is a read of the head row, a peer that has evidence, or a
// majority of the listed entries of which none holds a newer revision.
//
// A restarted entry may lack a change that it acknowledged before the restart. It
// therefore counts towards no majority until it has read the store or has
// evidence from a majority of entries that do count.
type Freshness struct {
	evidenceAt time.Time // Zero means no evidence yet.
	remembers  bool
	reports    map[string]PeerReport
}

// NewFreshness returns the Freshness of a process that has just started.
func NewFreshness() *Freshness { return &Freshness{reports: make(map[string]PeerReport)} }

// Remembers reports whether this process counts towards a majority of entries.
func (f *Freshness) Remembers() bool { return f.remembers }

// Age returns the age of the latest evidence at now, or false if there is none.
func (f *Freshness) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(f.evidenceAt), !f.evidenceAt.IsZero()
}

// Fresh reports whether the latest evidence is younger than limit at now.
func (f *Freshness) Fresh(now time.Time, limit time.Duration) bool {
	age, proved := f.Age(now)
	return proved && age < limit
}

// RecordStoreRead records that the process held all changes up to the head row
// after a read of that row which began at asked.
func (f *Freshness) RecordStoreRead(asked time.Time) {
	f.remembers = true
	f.recordEvidence(asked)
}

// RecordReport records a peer's report. held is the revision of this process after
// it applied the changes that came with the report.
func (f *Freshness) RecordReport(report PeerReport, held Revision) {
	f.reports[report.Entry] = report
	if report.Proved && report.Revision <= held {
		f.recordEvidence(report.Asked.Add(-report.Age))
	}
}

// RecordMajority records evidence if a majority of entries, which are listed and
// this process, hold no revision newer than held. listed does not contain this
// process. The evidence dates from the oldest report that the majority needs.
func (f *Freshness) RecordMajority(listed []string, held Revision, now time.Time) {
	needed := (len(listed)+1)/2 + 1
	if f.remembers {
		needed--
	}
	asked := f.agreeingRequestTimes(listed, held)
	if len(asked) < needed {
		return
	}
	since := now
	if needed > 0 {
		since = asked[needed-1]
	}
	f.recordEvidence(since)
	f.remembers = true
}

// agreeingRequestTimes returns the request times of the reports of the listed entries
// that count towards a majority and hold nothing newer than held, latest first.
func (f *Freshness) agreeingRequestTimes(listed []string, held Revision) []time.Time {
	var asked []time.Time
	for _, entry := range listed {
		report, known := f.reports[entry]
		if known && report.Remembers && report.Revision <= held {
			asked = append(asked, report.Asked)
		}
	}
	sort.Slice(asked, func(i, j int) bool { return asked[i].After(asked[j]) })
	return asked
}

// DropReportsBefore removes the reports that were requested before a given time.
func (f *Freshness) DropReportsBefore(before time.Time) {
	for entry, report := range f.reports {
		if report.Asked.Before(before) {
			delete(f.reports, entry)
		}
	}
}

func (f *Freshness) recordEvidence(since time.Time) {
	if since.After(f.evidenceAt) {
		f.evidenceAt = since
	}
}
