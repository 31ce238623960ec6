package crashes

import (
	"slices"
	"time"

	"flamingospar.org/core/blame"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Limits of what is exchanged.
const (
	// maxMarksPerExchange bounds the marks of parts in one message, and those of requests.
	maxMarksPerExchange = 32
	// reportInterval is the time between two reports of all marks to a process.
	// Changes are reported with the next message.
	reportInterval = 1 * time.Second
	// maxReports bounds the processes whose last reports are remembered.
	maxReports = 1024
)

// reportTimes is when marks were last reported to a process.
type reportTimes struct {
	changes time.Time
	all     time.Time
}

// MarksForPeer returns the marks to report to the process on a VM.
func (t *Tracker) MarksForPeer(vm string) []*wirev1.PartMark {
	if !t.hasMarks.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	last := t.reports[vm]
	since := last.changes
	if now.Sub(last.all) >= reportInterval {
		since, last.all = time.Time{}, now
	}
	last.changes = now
	if len(t.reports) >= maxReports {
		clear(t.reports)
	}
	t.reports[vm] = last
	var encoded []*wirev1.PartMark
	for _, mark := range t.marks.ChangedSince(since, maxMarksPerExchange) {
		encoded = append(encoded, encode(mark, now))
	}
	return encoded
}

// Merge adds marks of another process.
func (t *Tracker) Merge(marks []*wirev1.PartMark) {
	now := time.Now()
	decoded := make([]blame.Mark, 0, min(len(marks), 2*maxMarksPerExchange))
	for _, mark := range marks[:min(len(marks), 2*maxMarksPerExchange)] {
		decoded = append(decoded, decode(mark, now))
	}
	t.merge(decoded, "another process")
}

// merge adds marks from a source.
func (t *Tracker) merge(marks []blame.Mark, source string) {
	if len(marks) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, mark := range marks {
		t.marks.Merge(mark, time.Now())
	}
	if !t.marks.Empty() {
		t.hasMarks.Store(true)
	}
	t.updateBlamed(source)
}

// blamedMarks returns the marks of all that is blamed.
func (t *Tracker) blamedMarks() []blame.Mark {
	if !t.hasMarks.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []blame.Mark
	for _, key := range slices.Concat(t.marks.Blamed()...) {
		marks = append(marks, t.marks.Mark(key))
	}
	return marks
}

func encode(mark blame.Mark, now time.Time) *wirev1.PartMark {
	encoded := &wirev1.PartMark{Part: mark.Part}
	for _, e := range mark.Evidence {
		encoded.Evidence = append(encoded.Evidence, &wirev1.CrashEvidence{
			Endpoint: e.Crash.Endpoint, StartedUnixMillis: e.Crash.StartedMS, Team: e.Team, Cleared: e.Cleared, AgeMs: uint64(max(now.Sub(e.At), 0).Milliseconds()),
		})
	}
	return encoded
}

// decode decodes a mark. An age too large for a duration is one beyond Retention.
func decode(encoded *wirev1.PartMark, now time.Time) blame.Mark {
	mark := blame.Mark{Part: encoded.GetPart()}
	for _, e := range encoded.GetEvidence() {
		age := time.Duration(min(e.GetAgeMs(), uint64(blame.Retention.Milliseconds()))) * time.Millisecond
		mark.Evidence = append(mark.Evidence, blame.Evidence{
			Crash: blame.Crash{Endpoint: e.GetEndpoint(), StartedMS: e.GetStartedUnixMillis()}, Team: e.GetTeam(), Cleared: e.GetCleared(), At: now.Add(-age),
		})
	}
	return mark
}
