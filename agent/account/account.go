// Package account meters the runs on the endpoint. The ledger creates a numbered
// usage record for each run and keeps it until an entry acknowledges that it is
// durable. The agent writes records that stay unacknowledged itself.
package account

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"flamingospar.org/agent/pipeline"
	"flamingospar.org/core/refusal"
	"flamingospar.org/core/usage"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

const (
	// defaultWindowLength applies to runs whose entry gives no window length.
	defaultWindowLength = 1 * time.Minute
	// retainedWindows is the number of windows whose counts are kept.
	retainedWindows = 30
)

// Ledger is the pipeline filter and holds the unacknowledged records. It is safe
// for concurrent use.
type Ledger struct {
	source string
	kind   string // The endpoint's kind.

	mu           sync.Mutex
	lastSequence int64 // The last sequence number issued.
	held         map[int64]heldRecord
	counts       map[countKey]usage.Figures
	newestWindow usage.Window
}

type heldRecord struct {
	usage.Record
	heldSince time.Time
	writing   bool // The agent writes the record itself.
}

type countKey struct {
	window usage.Window
	team   string
}

// ModelKind is the endpoint kind of an engine.
const ModelKind = "model"

// NewLedger returns an empty ledger. source must be unique to each start of the
// agent, since sequence numbers restart at 1. kind is the endpoint's kind.
func NewLedger(source, kind string) *Ledger {
	return &Ledger{
		source: source,
		kind:   kind,
		held:   make(map[int64]heldRecord),
		counts: make(map[countKey]usage.Figures),
	}
}

func (l *Ledger) Name() string { return "account" }

// Admit implements pipeline.Filter. It applies the entry's acknowledgements and
// wraps run.Send to count the forwarded tokens.
func (l *Ledger) Admit(_ context.Context, run *pipeline.Run) *refusal.Refusal {
	l.Acknowledge(run.Start.UsageDurable)
	send := run.Send
	run.Send = func(event *wirev1.RunEvent) error {
		err := send(event)
		if chunk := event.GetChunk(); chunk != nil && err == nil {
			run.PassedOn += int64(chunk.Tokens)
		}
		return err
	}
	return nil
}

// Done implements pipeline.Filter. It creates the run's record and attaches it
// to the run's Finished message.
func (l *Ledger) Done(run *pipeline.Run) {
	if run.Start.Team == "" {
		return
	}
	figures, billed := usage.Bill(l.runEnd(run))
	if !billed {
		return
	}
	record := l.Count(run.Start.Team, figures, windowLength(run.Start), time.Now())
	if run.Finished != nil {
		run.Finished.UsageRecord = wireRecord(record)
	}
}

func (l *Ledger) runEnd(run *pipeline.Run) usage.RunEnd {
	end := usage.RunEnd{
		Began:     run.Began,
		Complete:  run.Finished.GetOutcome() == wirev1.Outcome_OUTCOME_RAN,
		Cancelled: cancelled(run.Finished),
		Model:     l.kind == ModelKind,
		Resumed:   run.Start.ResumeTokens > 0,
		PassedOn:  run.PassedOn,
	}
	if run.Usage != nil {
		end.Reported = &usage.Figures{
			PromptTokens: run.Usage.PromptTokens,
			CachedTokens: run.Usage.CachedTokens,
			OutputTokens: run.Usage.OutputTokens,
		}
	}
	return end
}

// cancelled reports whether the run was cancelled or reached its deadline.
func cancelled(finished *wirev1.Finished) bool {
	code := refusal.Code(finished.GetCode())
	return code == refusal.RunCancelled || code == refusal.DeadlineExceeded
}

func windowLength(start *wirev1.RunStart) time.Duration {
	if start.UsageWindowMillis <= 0 {
		return defaultWindowLength
	}
	return time.Duration(start.UsageWindowMillis) * time.Millisecond
}

// Count creates a record with the next sequence number and keeps it. window is
// the window length.
func (l *Ledger) Count(team string, figures usage.Figures, window time.Duration, now time.Time) usage.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence++
	record := usage.Record{
		Source:   l.source,
		Sequence: l.lastSequence,
		Window:   usage.WindowAt(now, window),
		Team:     team,
		Figures:  figures,
	}
	l.held[l.lastSequence] = heldRecord{Record: record, heldSince: now}
	key := countKey{window: record.Window, team: team}
	l.counts[key] = l.counts[key].Plus(figures)
	l.dropOldCounts(record.Window)
	return record
}

// dropOldCounts removes the counts of old windows when a new window begins.
func (l *Ledger) dropOldCounts(window usage.Window) {
	if window <= l.newestWindow {
		return
	}
	l.newestWindow = window
	for key := range l.counts {
		if key.window <= window-retainedWindows {
			delete(l.counts, key)
		}
	}
}

// Acknowledge removes durable records. It ignores acknowledgements for another
// source: they are for a previous agent process at this address.
func (l *Ledger) Acknowledge(durable *wirev1.UsageDurable) {
	if durable.GetSource() != l.source {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sequence := range durable.Sequences {
		delete(l.held, sequence)
	}
}

// Held returns the number of records that are not yet known to be durable.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// takeOverdue returns the records held since before or earlier that are not
// being written yet, ordered by sequence number, and marks them as being written.
func (l *Ledger) takeOverdue(before time.Time) []usage.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []usage.Record
	for sequence, held := range l.held {
		if held.writing || held.heldSince.After(before) {
			continue
		}
		held.writing = true
		l.held[sequence] = held
		records = append(records, held.Record)
	}
	slices.SortFunc(records, func(a, b usage.Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return records
}

func (l *Ledger) dropWritten(records []usage.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range records {
		delete(l.held, record.Sequence)
	}
}

func wireRecord(record usage.Record) *wirev1.UsageRecord {
	return &wirev1.UsageRecord{
		Source:   record.Source,
		Sequence: record.Sequence,
		Window:   int64(record.Window),
		Figures:  wireFigures(record.Figures),
	}
}

func wireFigures(figures usage.Figures) *wirev1.UsageFigures {
	return &wirev1.UsageFigures{
		Requests:     figures.Requests,
		PromptTokens: figures.PromptTokens,
		CachedTokens: figures.CachedTokens,
		OutputTokens: figures.OutputTokens,
	}
}
