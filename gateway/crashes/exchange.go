package crashes

import (
	"slices"
	"time"

	"flamingospar.org/core/blame"
	"flamingospar.org/core/crash"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// Limits of what is exchanged.
const (
	// maxMarksPerExchange bounds the marks of each kind in one message.
	maxMarksPerExchange = 32
	// reportInterval is the time between two reports of all marks of parts to a process.
	// Changes are reported with the next message.
	reportInterval = 1 * time.Second
	// marksInterval is the least time between two selections of the marks of requests to
	// send, which go to all processes.
	marksInterval = 100 * time.Millisecond
	// maxReports bounds the processes whose last reports are remembered.
	maxReports = 1024
)

// reportTimes is when marks of parts were last reported to a process.
type reportTimes struct {
	changes time.Time
	all     time.Time
}

// MarksForPeer returns the marks of requests to send to another process. Marks of refused
// requests come first.
func (t *Tracker) MarksForPeer() []crash.Mark {
	if !t.hasMarks.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.Sub(t.forPeersAt) < marksInterval {
		return t.forPeers
	}
	var refused, others []crash.Mark
	for _, mark := range t.marks.All() {
		if mark.Refused(now) {
			refused = append(refused, mark)
			continue
		}
		others = append(others, mark)
	}
	forPeers := append(refused, others...)
	t.forPeers, t.forPeersAt = forPeers[:min(len(forPeers), maxMarksPerExchange)], now
	return t.forPeers
}

// PartsForPeer returns the marks of parts to report to the process on a VM.
func (t *Tracker) PartsForPeer(vm string) []*wirev1.PartMark {
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
	for _, mark := range t.parts.ChangedSince(since, maxMarksPerExchange) {
		encoded = append(encoded, encode(mark, now))
	}
	return encoded
}

// Merge adds marks of another process.
func (t *Tracker) Merge(marks []crash.Mark, parts []*wirev1.PartMark) {
	if len(marks) == 0 && len(parts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, mark := range marks {
		if t.marks.Merge(mark, now) {
			t.hasMarks.Store(true)
		}
	}
	for _, part := range parts[:min(len(parts), maxMarksPerExchange)] {
		t.parts.Merge(decode(part, now), now)
	}
	t.partsMerged("another process")
}

// mergeParts adds marks of parts from a source.
func (t *Tracker) mergeParts(marks []blame.Mark, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, mark := range marks {
		t.parts.Merge(mark, time.Now())
	}
	t.partsMerged(source)
}

// partsMerged updates what depends on marks of parts. t.mu must be held.
func (t *Tracker) partsMerged(source string) {
	if !t.parts.Empty() {
		t.hasMarks.Store(true)
	}
	t.updateBlamed(source)
}

// blamedMarks returns the marks of all blamed parts.
func (t *Tracker) blamedMarks() []blame.Mark {
	if !t.hasMarks.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var marks []blame.Mark
	for _, part := range slices.Concat(t.parts.Blamed()...) {
		marks = append(marks, t.parts.Mark(part))
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
