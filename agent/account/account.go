// Package account counts what ran on the endpoint. The ledger numbers a record
// for each run and keeps it until an entry has shown it durable; what stays
// unacknowledged the agent writes itself.
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
	// defaultWindow holds for runs of entries that name no length.
	defaultWindow = 1 * time.Minute
	// countedWindows is how many windows the counts cover.
	countedWindows = 30
)

// Ledger is the filter and the store of unacknowledged records.
type Ledger struct {
	source string
	kind   string // Of the endpoint.

	mu     sync.Mutex
	last   int64 // The last sequence.
	held   map[int64]heldRecord
	counts map[countKey]usage.Figures
	newest usage.Window
}

type heldRecord struct {
	usage.Record
	since   time.Time
	writing bool // The agent itself writes the record.
}

type countKey struct {
	window usage.Window
	team   string
}

// ModelKind is the endpoint kind of engines.
const ModelKind = "model"

// NewLedger returns an empty ledger. source must differ with each start of the
// agent, since sequences begin anew; kind is the endpoint's.
func NewLedger(source, kind string) *Ledger {
	return &Ledger{
		source: source,
		kind:   kind,
		held:   make(map[int64]heldRecord),
		counts: make(map[countKey]usage.Figures),
	}
}

// Name implements pipeline.Filter.
func (l *Ledger) Name() string { return "account" }

// Admit implements pipeline.Filter. It takes the entry's acknowledgements and
// begins to count what is passed on.
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

// Done implements pipeline.Filter. It makes the run's record and puts it into
// the message that ends the run.
func (l *Ledger) Done(run *pipeline.Run) {
	if run.Start.Team == "" {
		return
	}
	figures, billed := usage.Bill(l.endOf(run))
	if !billed {
		return
	}
	record := l.Count(run.Start.Team, figures, windowLength(run.Start), time.Now())
	if run.Finished != nil {
		run.Finished.UsageRecord = wireRecord(record)
	}
}

func (l *Ledger) endOf(run *pipeline.Run) usage.RunEnd {
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

// cancelled reports whether the caller or its deadline ended the run.
func cancelled(finished *wirev1.Finished) bool {
	code := refusal.Code(finished.GetCode())
	return code == refusal.RunCancelled || code == refusal.DeadlineExceeded
}

func windowLength(start *wirev1.RunStart) time.Duration {
	if start.UsageWindowMillis <= 0 {
		return defaultWindow
	}
	return time.Duration(start.UsageWindowMillis) * time.Millisecond
}

// Count numbers a record and keeps it. window is the length of windows.
func (l *Ledger) Count(team string, figures usage.Figures, window time.Duration, now time.Time) usage.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	record := usage.Record{
		Source:   l.source,
		Sequence: l.last,
		Window:   usage.WindowAt(now, window),
		Team:     team,
		Figures:  figures,
	}
	l.held[l.last] = heldRecord{Record: record, since: now}
	key := countKey{window: record.Window, team: team}
	l.counts[key] = l.counts[key].Plus(figures)
	l.forget(record.Window)
	return record
}

// forget drops the counts of old windows when a new one begins.
func (l *Ledger) forget(window usage.Window) {
	if window <= l.newest {
		return
	}
	l.newest = window
	for key := range l.counts {
		if key.window <= window-countedWindows {
			delete(l.counts, key)
		}
	}
}

// Acknowledge drops records that are durable. Those of another source belong
// to an earlier start of an agent at this address.
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

// Held returns the number of records that are not known to be durable.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held)
}

// overdue marks and returns the records held since before an instant, in the
// order of their sequences.
func (l *Ledger) overdue(before time.Time) []usage.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []usage.Record
	for sequence, held := range l.held {
		if held.writing || held.since.After(before) {
			continue
		}
		held.writing = true
		l.held[sequence] = held
		records = append(records, held.Record)
	}
	slices.SortFunc(records, func(a, b usage.Record) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return records
}

func (l *Ledger) written(records []usage.Record) {
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
