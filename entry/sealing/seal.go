package sealing

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"flamingospar.org/base/invariant"
	"flamingospar.org/core/usage"
	"flamingospar.org/platform/tables"
	"flamingospar.org/platform/usagestore"
)

const (
	maxTeamsPerPart   = 200
	deleteBatchSize   = 200
	maxWindowsPerStep = 60
)

// ErrWindowLength means that the stored windows have a different length than the
// configured one.
var ErrWindowLength = errors.New("sealing: the table service holds windows of a different length; remedy: set usage_window to the length that all entries had before")

// sealDue seals the closed windows that have batches, oldest first, at most
// maxWindowsPerStep in a step.
func (s *Sealer) sealDue(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	for range maxWindowsPerStep {
		progress, version, err := usagestore.ReadProgress(ctx, s.tables)
		if err != nil {
			return err
		}
		if version > 0 && progress.WindowMillis != s.config.Window.Milliseconds() {
			return ErrWindowLength
		}
		now := time.Now()
		newest := s.newestClosed(now)
		if !s.graceElapsed(now) || (version > 0 && progress.SealedWindow >= newest) {
			return nil
		}
		window, found, err := s.nextWindow(ctx, progress, version)
		if err != nil || !found || window > newest {
			return err
		}
		if err := s.seal(ctx, window, progress, version); err != nil {
			return err
		}
	}
	return nil
}

// nextWindow returns the window to seal: the window of the oldest batch, or the one
// after the last sealed window if the oldest batch is late. Windows without batches
// are skipped, but never past the oldest batch, so that a holder whose clock is
// ahead seals at most one open window early.
func (s *Sealer) nextWindow(ctx context.Context, progress usagestore.Progress, version int64) (usage.Window, bool, error) {
	oldest, found, err := usagestore.OldestWindow(ctx, s.tables)
	if version == 0 {
		return oldest, found, err
	}
	return max(oldest, progress.SealedWindow+1), found, err
}

// seal sums the batches of a window and writes its figures, the counted sequences
// and the progress in one transaction. The batches are deleted only after the
// transaction is committed.
func (s *Sealer) seal(ctx context.Context, window usage.Window, progress usagestore.Progress, version int64) error {
	sources, err := usagestore.ReadSources(ctx, s.tables)
	if err != nil {
		return err
	}
	tally := usage.NewTally(window, s.windowCount(s.config.RecordRetention), sources)
	removal, err := s.tallyBatches(ctx, tally, window)
	if err != nil {
		return err
	}
	progress.SealedWindow = window
	progress.WindowMillis = s.config.Window.Milliseconds()
	txn, err := s.sealTxn(tally, sources, window, progress, version)
	if err != nil {
		return err
	}
	if err := s.tables.Commit(ctx, txn); err != nil {
		return err
	}
	invariant.Check(window > s.lastSealed, invariant.WindowWrittenOnce, "window %d sealed after %d", window, s.lastSealed)
	s.lastSealed = window
	s.updateMetrics(tally, progress)
	return s.removeRows(ctx, removal)
}

// tallyBatches adds the batches that are due to tally. It returns the writes that
// delete them, or set them aside if the tally rejects them.
func (s *Sealer) tallyBatches(ctx context.Context, tally *usage.Tally, window usage.Window) ([]tables.Write, error) {
	var removal []tables.Write
	err := usagestore.ForEachBatch(ctx, s.tables, window, func(stored usagestore.StoredBatch) error {
		if tally.Add(stored.Batch) {
			removal = append(removal, usagestore.DeleteBatch(stored.Row)...)
		} else {
			removal = append(removal, usagestore.SetAside(stored.Row)...)
		}
		return nil
	})
	return removal, err
}

func (s *Sealer) sealTxn(tally *usage.Tally, sources map[string]*usage.Sequences, window usage.Window, progress usagestore.Progress, version int64) (tables.Txn, error) {
	condition, write, err := usagestore.ProgressUpdate(progress, version)
	if err != nil {
		return tables.Txn{}, err
	}
	txn := tables.Txn{
		Conditions: []tables.Condition{s.lease.Guard(), condition},
		Writes:     []tables.Write{write},
	}
	pruned := tally.PruneSources()
	shards, err := usagestore.SourceWrites(sources, tally.Changed, pruned)
	if err != nil {
		return tables.Txn{}, err
	}
	txn.Writes = append(txn.Writes, shards...)
	for _, part := range splitIntoParts(window, tally.Totals()) {
		value, err := json.Marshal(part)
		if err != nil {
			return tables.Txn{}, err
		}
		key := usagestore.SealedPartKey(window, part.Part)
		txn.Conditions = append(txn.Conditions, tables.Condition{Key: key})
		txn.Writes = append(txn.Writes, tables.Write{Key: key, Value: value})
	}
	return txn, nil
}

func splitIntoParts(window usage.Window, totals []usage.TeamTotal) []usagestore.SealedPart {
	sort.Slice(totals, func(i, j int) bool { return totals[i].Team < totals[j].Team })
	var parts []usagestore.SealedPart
	for i, total := range totals {
		invariant.Check(total.Late.Tokens() <= total.Figures.Tokens(), invariant.UsageLateWithinTotal, "team %s window %d", total.Team, window)
		if i%maxTeamsPerPart == 0 {
			parts = append(parts, usagestore.SealedPart{Window: window, Part: len(parts)})
		}
		last := &parts[len(parts)-1]
		last.Teams = append(last.Teams, total)
	}
	return parts
}

// removeRows commits writes that remove rows, in several transactions. Batches that
// stay after a failure are read again with the next window, where their records
// are duplicates and are not counted.
func (s *Sealer) removeRows(ctx context.Context, removal []tables.Write) error {
	for len(removal) > 0 {
		n := min(len(removal), deleteBatchSize)
		txn := tables.Txn{Conditions: []tables.Condition{s.lease.Guard()}, Writes: removal[:n]}
		if err := s.tables.Commit(ctx, txn); err != nil {
			return err
		}
		removal = removal[n:]
	}
	return nil
}

func (s *Sealer) updateMetrics(tally *usage.Tally, progress usagestore.Progress) {
	s.meter.Count("usage", "windows_sealed")
	s.meter.Add(tally.Counted, "usage", "records_sealed")
	s.meter.Add(tally.Duplicates, "usage", "records_duplicate")
	s.meter.Add(tally.TooOld, "usage", "records_set_aside")
	s.meter.Gauge(int64(progress.SealedWindow), "usage", "sealed_window")
	if tally.TooOld > 0 {
		log.Error(nil, "Records older than the retention of counted records were set aside; see the operators' page on usage.", "records", tally.TooOld)
	}
}
