package capacity

import (
	"context"
	"fmt"
	"time"

	agentaccount "flamingospar.org/agent/account"
	"flamingospar.org/base/meter"
	"flamingospar.org/core/lease"
	"flamingospar.org/core/usage"
	"flamingospar.org/entry/account"
	"flamingospar.org/entry/sealing"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagestore"
	"flamingospar.org/standin/platform"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
)

// usageMeasurements returns the measurements of counting, writing, sealing and
// reporting usage.
func usageMeasurements() []measurement {
	return []measurement{
		{"usage_record_row", Bytes, "a run in a batch row of 230", recordRowBytes},
		{"usage_record_write", Microseconds, "a run taken, batched and written by an entry", recordWriteTime},
		{"usage_waiting_heap", Bytes, "a run that waits at an entry through an outage", func() (float64, error) {
			return heapPerItem(sampleRecords, func(n int) any { return writerWithBacklog(n) }), nil
		}},
		{"usage_count_heap", Bytes, "a team in a window, counted at an entry", func() (float64, error) {
			return heapPerItem(sampleTeams, func(n int) any { return countsWithTeams(n) }), nil
		}},
		{"seal_record", Microseconds, "a run read and added up by the holder", sealRecordTime},
		{"seal_source_heap", Bytes, "an agent known to the holder while it seals", func() (float64, error) {
			return heapPerItem(sampleRecords, func(n int) any { return newSources(n) }), nil
		}},
		{"sealed_team_row", Bytes, "a team in a sealed window", sealedTeamBytes},
		{"report", Microseconds, "a report made and sent by the holder, platform left out", reportTime},
	}
}

// sampleBatch returns a batch of the size that an entry writes every five seconds
// at the target size.
func sampleBatch(sequence int64) usage.Batch {
	batch := usage.Batch{Instance: "00000000-0000-0000-0000-000000000000.00000000", Sequence: sequence, Window: 1}
	for i := range int64(batchRecords) {
		batch.Records = append(batch.Records, usage.Record{
			Source:   fmt.Sprintf("%08d-0000-0000-0000-000000000000.00000000", i%batchAgents),
			Sequence: 1_000_000 + sequence*batchRecords + i,
			Window:   1,
			Team:     fmt.Sprintf("team-%05d", (i*7)%batchTeams),
			Figures:  usage.Figures{Requests: 1, PromptTokens: 100 + 37*i, CachedTokens: 64, OutputTokens: 100 + 3*i},
		})
	}
	return batch
}

func recordRowBytes() (float64, error) {
	data, err := usage.EncodeBatch(sampleBatch(1))
	return float64(len(data)) / batchRecords, err
}

func recordWriteTime() (float64, error) {
	store := platform.New().Tables
	registry := meter.NewRegistry()
	records, acks, counts := account.NewRing(), account.NewAcks(), account.NewCounts()
	interceptor := account.NewInterceptor(records, acks, counts, time.Minute, registry)
	writer := account.NewWriter(store, records, acks, nil, "entry", time.Second, registry)
	sequence := int64(0)
	batchTime := cpuPerCall(func() {
		sequence++
		for _, record := range sampleBatch(sequence).Records {
			interceptor.RecordFinished(record.Team, "10.0.0.1:9300", finishedMessage(record), record.Figures.OutputTokens)
		}
		writer.Flush(context.Background())
		acks.Take("10.0.0.1:9300")
	})
	return batchTime / batchRecords, nil
}

func finishedMessage(record usage.Record) *wirev1.Finished {
	return &wirev1.Finished{UsageRecord: &wirev1.UsageRecord{
		Source:   record.Source,
		Sequence: record.Sequence,
		Window:   int64(record.Window),
		Figures: &wirev1.UsageFigures{
			Requests:     record.Figures.Requests,
			PromptTokens: record.Figures.PromptTokens,
			CachedTokens: record.Figures.CachedTokens,
			OutputTokens: record.Figures.OutputTokens,
		},
	}}
}

// unavailableTables is a table service that is unavailable for commits.
type unavailableTables struct{ tables.Service }

func (unavailableTables) Commit(context.Context, tables.Txn) error { return tables.ErrUnavailable }

func writerWithBacklog(n int) *usagestore.Writer {
	writer := usagestore.NewWriter(unavailableTables{}, "entry")
	for sequence := range int64(n / batchRecords) {
		writer.Add(sampleBatch(sequence).Records...)
		_, _ = writer.Flush(context.Background())
	}
	return writer
}

func countsWithTeams(n int) *account.Counts {
	counts := account.NewCounts()
	for i := range n {
		counts.Add(usage.Record{Window: 1, Team: fmt.Sprintf("team-%05d", i), Figures: usage.Figures{Requests: 1}})
	}
	return counts
}

func sealRecordTime() (float64, error) {
	var rows [][]byte
	for sequence := range int64(40) {
		data, err := usage.EncodeBatch(sampleBatch(sequence))
		if err != nil {
			return 0, err
		}
		rows = append(rows, data)
	}
	var decodeErr error
	micros := cpuPerCall(func() {
		tally := usage.NewTally(1, 1, make(map[string]*usage.Sequences))
		for _, row := range rows {
			batch, err := usage.DecodeBatch(row)
			if err != nil {
				decodeErr = err
				return
			}
			tally.Add(batch)
		}
	})
	return micros / float64(len(rows)*batchRecords), decodeErr
}

func newSources(n int) map[string]*usage.Sequences {
	sources := make(map[string]*usage.Sequences, n)
	for i := range n {
		source := new(usage.Sequences)
		source.Add(1)
		source.Add(3)
		sources[fmt.Sprintf("%08d-0000-0000-0000-000000000000.00000000", i)] = source
	}
	return sources
}

// permanentLease is a lease that is always held.
type permanentLease struct{}

func (permanentLease) Held() (lease.Term, bool) {
	row := lease.Row{Holder: "entry", Epoch: 1, Term: time.Hour}
	return lease.Term{Row: row, SentAt: time.Now()}, true
}

func (permanentLease) Guard() tables.Condition {
	return tables.Condition{Key: tables.Key{Table: "leases", Row: "usage"}}
}

// sealWindow seals and reports a window with one run of each of n teams. It
// returns the platform and the processor time used.
func sealWindow(n int) (*platform.Platform, time.Duration, error) {
	store := platform.New()
	ledger := agentaccount.NewLedger("agent", agentaccount.ModelKind)
	writer := usagestore.NewWriter(store.Tables, "agent")
	ended := time.Now().Add(-time.Minute)
	for i := range n {
		writer.Add(ledger.Count(fmt.Sprintf("team-%05d", i), usage.Figures{Requests: 1, PromptTokens: 1000, OutputTokens: 200}, time.Second, ended))
	}
	if _, err := writer.Flush(context.Background()); err != nil {
		return nil, 0, err
	}
	config := sealing.Config{Window: time.Second, Grace: time.Nanosecond, RecordRetention: time.Hour, SealedRetention: time.Hour, MaxConcurrentReports: sealing.DefaultMaxConcurrentReports}
	sealer := sealing.New(store.Tables, store, permanentLease{}, config, meter.NewRegistry())
	before := processCPUTime()
	for range 3 {
		sealer.Step(context.Background())
		time.Sleep(time.Millisecond)
	}
	return store, processCPUTime() - before, nil
}

func sealedTeamBytes() (float64, error) {
	store, _, err := sealWindow(sampleRecords)
	if err != nil {
		return 0, err
	}
	rows, err := store.Tables.Scan(context.Background(), usagestore.SealedTable, "sealed/", "", sampleRecords)
	total := 0
	for _, row := range rows {
		total += len(row.Value)
	}
	return float64(total) / sampleRecords, err
}

func reportTime() (float64, error) {
	store, cpuTime, err := sealWindow(sampleRecords)
	if err != nil {
		return 0, err
	}
	if n := len(store.Reports()); n != sampleRecords {
		return 0, fmt.Errorf("capacity: %d of %d reports were sent", n, sampleRecords)
	}
	return float64(cpuTime.Microseconds()) / sampleRecords, nil
}
