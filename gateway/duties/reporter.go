package duties

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"flamingospar.org/base/clock"
	"flamingospar.org/entry/leasekeeper"
	"flamingospar.org/platform/site"
)

// Times and limits of the reports.
const (
	// sealDelay is how long after its end a window is sealed if all processes known
	// to have counts have written them.
	sealDelay = 1500 * time.Millisecond
	// sealMargin is the time left until the report is due when a window is sealed
	// without waiting any longer for missing counts; copies are used in their place.
	sealMargin = 2500 * time.Millisecond
	// storeRecoveryWait is how long after a store outage processes may need to write
	// the counts that they could not write during it: an attempt in progress, the
	// retry delay and the next attempt.
	storeRecoveryWait = 3 * time.Second
	// lookbackWindows is how many windows back a new holder searches for the newest
	// sealed one. The store returns at most 500 rows per call.
	lookbackWindows = 400
	// pruneEveryWindows is the number of windows between two removals of old sealed
	// windows, and maxPrunedRows how many are removed at once: the store accepts at
	// most 100 rows.
	pruneEveryWindows = 90
	maxPrunedRows     = 95
)

// Reporter seals and reports windows while this process holds the lease.
type Reporter struct {
	Store         *site.Store
	Duty          *site.DutyClient
	Lease         *leasekeeper.Keeper
	Holder        string // Name of this VM.
	Clock         func() (time.Time, bool)
	WindowLength  time.Duration
	ReportTimeout time.Duration // From the end of a window until its report is due.
	Replicas      *Replicas
	// StoreAvailableFor returns how long the store has answered without interruption.
	StoreAvailableFor func() time.Duration
	// PeerInstances returns the instances of the other listed processes, and false
	// until the list has been read.
	PeerInstances  func() ([]string, bool)
	Handover       *HandoverGuard
	lastReported   Window // Newest window reported by this process.
	term           int64  // Term to which lastReported belongs.
	lastLoggedWait Window // Last window for which waiting was logged.
	// newestSealed is the newest window that this process has sealed or found sealed, and
	// newestCounts are its counts, if they are known.
	newestSealed Window
	newestCounts *usageRow
}

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := retryDelay
		if fence, held := r.Lease.Fence(); held {
			wait = r.step(ctx, fence)
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// step reports the next window that is due and returns the time until the next step.
func (r *Reporter) step(ctx context.Context, fence leasekeeper.Fence) time.Duration {
	now, synced := r.Clock()
	if !synced {
		return retryDelay
	}
	due := windowAt(now.Add(-sealDelay), r.WindowLength) - 1
	if err := r.startTerm(ctx, fence, due); err != nil {
		log.Error(err, "Could not determine the newest sealed window.", "epoch", fence.Term.Row.Epoch)
		return retryDelay
	}
	if r.lastReported >= due {
		return min((due + 1).endOf(r.WindowLength).Add(sealDelay).Sub(now), r.WindowLength)
	}
	if !r.Handover.MayAct(r.term) {
		return retryDelay
	}
	window := r.lastReported + 1
	sealed, err := r.sealedCounts(ctx, window, fence)
	if err == nil {
		r.recordSealed(window, &sealed)
	}
	if errors.Is(err, errCountsMissing) {
		return retryDelay
	}
	if err != nil {
		log.Error(err, "Could not read or seal a window.", "window", window, "epoch", r.term)
		return retryDelay
	}
	if len(sealed.Counts) > 0 {
		if err := r.report(ctx, window, sealed); err != nil {
			return retryDelay
		}
	}
	r.lastReported = window
	if window%pruneEveryWindows == 0 {
		r.prune(ctx, window-lookbackWindows, fence)
	}
	return 0
}

// prune removes rows of both tables that are too old for a new holder to look for. Counts
// are left over where they were written again after their window had been sealed.
func (r *Reporter) prune(ctx context.Context, before Window, fence leasekeeper.Fence) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, table := range []string{tableSealed, tableCounts} {
		r.pruneTable(ctx, table, before, fence)
	}
}

func (r *Reporter) pruneTable(ctx context.Context, table string, before Window, fence leasekeeper.Fence) {
	page, err := r.Store.Range(ctx, table, "", windowKey(before))
	if err != nil {
		log.Error(err, "Could not read old usage rows; they are kept for now.", "table", table, "before", before)
		return
	}
	if len(page.Rows) == 0 {
		return
	}
	var tx site.Tx
	tx.Require(fence.Guard.Key.Table, fence.Guard.Key.Row, fence.Guard.Version)
	pruned := page.Rows[:min(len(page.Rows), maxPrunedRows)]
	for _, row := range pruned {
		tx.Delete(table, row.Key)
	}
	if _, err := r.Store.Commit(ctx, tx); err != nil {
		log.Error(err, "Could not confirm the removal of old usage rows.", "table", table, "before", before, "rows", len(pruned))
		return
	}
	log.Info("Old usage rows were removed.", "table", table, "before", before, "rows", len(pruned), "epoch", fence.Term.Row.Epoch)
}

// startTerm finds where a new term continues: at the newest sealed window, which the
// previous holder may not have reported. Each holder reports a window before it
// seals the next one.
func (r *Reporter) startTerm(ctx context.Context, fence leasekeeper.Fence, due Window) error {
	epoch := int64(fence.Term.Row.Epoch)
	if epoch == r.term {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	page, err := r.Store.Range(ctx, tableSealed, windowKey(due-lookbackWindows), "")
	if err != nil {
		return err
	}
	newest := newestWindow(page.Rows, due+lookbackWindows)
	if newest, err = r.startEra(ctx, fence, newest, due); err != nil {
		return err
	}
	r.lastReported = due - 1
	if newest > 0 {
		r.lastReported = min(r.lastReported, newest-1)
		r.recordSealed(newest, nil)
	}
	r.term = epoch
	return nil
}

// recordSealed records that a window is sealed, with its counts if they are known.
func (r *Reporter) recordSealed(window Window, counts *usageRow) {
	if window > r.newestSealed || window == r.newestSealed && counts != nil {
		r.newestSealed, r.newestCounts = window, counts
	}
}

// sealedCounts returns the sealed counts of a window, and seals it if needed. Sealed
// counts never change.
func (r *Reporter) sealedCounts(ctx context.Context, window Window, fence leasekeeper.Fence) (usageRow, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := windowKey(window)
	page, err := r.Store.Range(ctx, tableSealed, key, key+"\x00")
	if err != nil {
		return usageRow{}, err
	}
	if len(page.Rows) > 0 {
		var sealed usageRow
		err := json.Unmarshal(page.Rows[0].Value, &sealed)
		return sealed, err
	}
	return r.seal(ctx, window, fence)
}

// seal adds up the counts of all processes and writes the sum, if the lease is still
// held.
func (r *Reporter) seal(ctx context.Context, window Window, fence leasekeeper.Fence) (usageRow, error) {
	key := windowKey(window)
	page, err := r.Store.Range(ctx, tableCounts, key+"/", key+"0")
	if err != nil {
		return usageRow{}, err
	}
	total := usageRow{Counts: make(map[string]int64)}
	var tx site.Tx
	missing := r.Replicas.Counts(window)
	for _, row := range page.Rows {
		var counted usageRow
		if err := json.Unmarshal(row.Value, &counted); err != nil || counted.hasNegative() {
			log.Info("A row does not hold the counts of a process; it is left out.", "row", row.Key, "version", row.Version)
			continue
		}
		total.add(counted.Counts)
		delete(missing, strings.TrimPrefix(row.Key, key+"/"))
		tx.Delete(tableCounts, row.Key)
	}
	if (len(missing) > 0 || !r.countsComplete(window)) && !r.sealDue(window) {
		r.logWait(window, missing)
		return usageRow{}, errCountsMissing
	}
	for instance, counts := range missing {
		log.Info("A process has not written its counts; a copy of them is used.", "window", window, "instance", instance)
		total.add(counts)
	}
	value, err := json.Marshal(total)
	if err != nil {
		return usageRow{}, err
	}
	tx.Require(fence.Guard.Key.Table, fence.Guard.Key.Row, fence.Guard.Version)
	tx.Require(tableSealed, key, 0)
	tx.Put(tableSealed, key, value)
	if _, err := r.Store.Commit(ctx, tx); err != nil {
		return usageRow{}, err
	}
	log.Info("A window was sealed.", "window", window, "epoch", fence.Term.Row.Epoch, "processes", len(page.Rows), "teams", strings.Join(slices.Sorted(maps.Keys(total.Counts)), ","))
	return total, nil
}

// logWait logs once per window that it waits for missing counts.
func (r *Reporter) logWait(window Window, missing map[string]map[string]int64) {
	if r.lastLoggedWait == window {
		return
	}
	r.lastLoggedWait = window
	log.Info("A window waits for counts that are not written yet.", "window", window, "epoch", r.term,
		"instances", slices.Sorted(maps.Keys(missing)), "store_steady_ms", r.StoreAvailableFor().Milliseconds())
}

// countsComplete reports whether all counts of a window are known from a row or a
// copy. After a store outage processes may still have to write theirs. It is then
// enough that each peer has sent all its counts since the window's end, or that the
// store has been available long enough for them to be written.
func (r *Reporter) countsComplete(window Window) bool {
	if r.StoreAvailableFor() >= storeRecoveryWait {
		return true
	}
	peers, known := r.PeerInstances()
	return known && r.Replicas.CompleteUntil(peers, window.endOf(r.WindowLength))
}

// sealDue reports whether a window can no longer wait for missing counts.
func (r *Reporter) sealDue(window Window) bool {
	now, _ := r.Clock()
	return !now.Before(window.endOf(r.WindowLength).Add(r.ReportTimeout - sealMargin))
}

// report sends the counts of a sealed window, if the lease is still held.
func (r *Reporter) report(ctx context.Context, window Window, sealed usageRow) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	fence, held := r.Lease.Fence()
	if !held || int64(fence.Term.Row.Epoch) != r.term {
		return errors.New("the lease term has ended; remedy: leave the report to the next holder")
	}
	r.Handover.RecordAction(r.term)
	err := r.Duty.ReportUsage(ctx, site.DutyHolder{VM: r.Holder, FencingToken: r.term}, int64(window), sealed.Counts)
	if err != nil {
		log.Error(err, "A window was not reported; it is tried again while the lease is held.", "window", window, "epoch", r.term)
		return err
	}
	log.Info("A window was reported.", "window", window, "epoch", r.term)
	return nil
}
